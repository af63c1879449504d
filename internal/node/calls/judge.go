package calls

import (
	"net/http"

	"jasminegate/internal/protocol/headers"
)

// responseClass is what an answer's head tells of the call.
type responseClass int

const (
	// validResponse is the target's answer to the call.
	validResponse responseClass = iota
	// notRunResponse says that the target did not run the call.
	notRunResponse
	// mismatchedResponse belongs to another request, is not the target's own, or cannot
	// be passed on: what became of the call is not known.
	mismatchedResponse
)

// classifyResponse reads an answer's head by the contract.
func classifyResponse(contract headers.Contract, request *http.Request, response *http.Response) responseClass {
	if responseID := response.Header.Get(contract.RequestID); responseID != "" && responseID != request.Header.Get(contract.RequestID) {
		return mismatchedResponse
	}
	if contract.NotRun == "" {
		return validResponse
	}
	declined := response.Header.Get(contract.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
	switch {
	case declined && response.StatusCode != http.StatusBadRequest:
		return notRunResponse
	case declined:
		return validResponse
	case impliesNotRun(response.StatusCode):
		// Callers take the status as a promise that the target did not give.
		return mismatchedResponse
	case response.StatusCode < 300 && !sealed(contract, request, response):
		return mismatchedResponse
	}
	return validResponse
}

// impliesNotRun reports whether callers take the status to say that the call was
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sealed reports whether a success is marked as the target's own, for this
// request, and in the encoding that was asked for.
func sealed(contract headers.Contract, request *http.Request, response *http.Response) bool {
	idMatches := contract.RequestID == "" || response.Header.Get(contract.RequestID) == request.Header.Get(contract.RequestID)
	marked := contract.Seal == "" || response.Header.Get(contract.Seal) != ""
	return idMatches && marked && response.Header.Get("Content-Encoding") == ""
}
