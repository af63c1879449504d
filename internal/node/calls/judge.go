package calls

import (
	"net/http"

	"jasminegate/internal/protocol/headers"
)

// judgement is what an answer's head tells of the call.
type judgement int

const (
	// ownAnswer is the target's answer to the call.
	ownAnswer judgement = iota
	// notRunAnswer says that the target did not run the call.
	notRunAnswer
	// foreignAnswer belongs to another request, is not the target's own, or cannot
	// be passed on: what became of the call is not known.
	foreignAnswer
)

// judge reads an answer's head by the contract.
func judge(contract headers.Contract, request *http.Request, response *http.Response) judgement {
	if of := response.Header.Get(contract.RequestID); of != "" && of != request.Header.Get(contract.RequestID) {
		return foreignAnswer
	}
	if contract.NotRun == "" {
		return ownAnswer
	}
	declined := response.Header.Get(contract.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
	switch {
	case declined && response.StatusCode != http.StatusBadRequest:
		return notRunAnswer
	case declined:
		return ownAnswer
	case promisesNotRun(response.StatusCode):
		// Callers take the status as a promise that the target did not give.
		return foreignAnswer
	case response.StatusCode < 300 && !sealed(contract, request, response):
		return foreignAnswer
	}
	return ownAnswer
}

// promisesNotRun reports whether callers take the status to say that the call was
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sealed reports whether a success is marked as the target's own, for this
// request, and in the encoding that was asked for.
func sealed(contract headers.Contract, request *http.Request, response *http.Response) bool {
	named := contract.RequestID == "" || response.Header.Get(contract.RequestID) == request.Header.Get(contract.RequestID)
	marked := contract.ResponseSeal == "" || response.Header.Get(contract.ResponseSeal) != ""
	return named && marked && response.Header.Get("Content-Encoding") == ""
}
