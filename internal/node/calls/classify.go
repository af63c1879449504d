package calls

import (
	"net/http"

	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/transport/responsehead"
)

// responseClass is what the status and headers of a response say about the call.
type responseClass int

const (
	// validResponse is the target's response to the call.
	validResponse responseClass = iota
	// notRunResponse says that the target did not run the call.
	notRunResponse
	// mismatchedResponse belongs to another request, is not the target's own,
	// or must not be passed on: the call's outcome is unknown.
	mismatchedResponse
)

// classifyResponse classifies a response by its status and the headers of the
// contract.
func classifyResponse(contract headers.Contract, request *http.Request, response *http.Response) responseClass {
	if response.StatusCode < minStatus || responsehead.Check(response) != nil {
		// Includes 101: no request asks for another protocol, and what follows has no end.
		return mismatchedResponse
	}
	if echoesOther(contract.RequestID, request, response) || echoesOther(contract.CallID, request, response) {
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
		// A declined call with status 400 is not sent to another target: the
		// caller gets this response.
		return validResponse
	case impliesNotRun(response.StatusCode):
		// The caller would conclude that the call was not run, which the target
		// did not report.
		return mismatchedResponse
	case response.StatusCode < 300 && !sealed(contract, request, response):
		return mismatchedResponse
	}
	return validResponse
}

// echoesOther reports whether the response has another ID in the header than the
// request. A target may repeat a response late, on a connection that is in use again.
func echoesOther(name string, request *http.Request, response *http.Response) bool {
	if name == "" {
		return false
	}
	echoed := response.Header.Get(name)
	return echoed != "" && echoed != request.Header.Get(name)
}

// impliesNotRun reports whether callers take the status to mean that the call
// was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// sealed reports whether a successful response is marked as the target's own,
// carries this request's ID, and has no Content-Encoding. Requests are assumed
// to ask for none.
func sealed(contract headers.Contract, request *http.Request, response *http.Response) bool {
	idMatches := contract.RequestID == "" || response.Header.Get(contract.RequestID) == request.Header.Get(contract.RequestID)
	marked := contract.ResponseSeal == "" || response.Header.Get(contract.ResponseSeal) != ""
	return idMatches && marked && response.Header.Get("Content-Encoding") == ""
}
