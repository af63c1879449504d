package adminapi

// QuarantineList is the response to GET PathQuarantine.
type QuarantineList struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// QuarantinedRequest is a request under which targets crashed.
type QuarantinedRequest struct {
	// ID names the request in the list, in events and in PathQuarantined.
	ID string `json:"id"`
	// Refused is set if the request is in quarantine; otherwise it is only suspected.
	Refused bool `json:"refused"`
	// Crashes is the number of crashes noted with it.
	Crashes int `json:"crashes"`
	// Method, URI and CallerService describe the request; they are empty on a node that only
	// knows that it is suspected.
	Method        string `json:"method"`
	URI           string `json:"uri"`
	CallerService string `json:"caller_service"`
	// RemainingMS is the time until the note expires, in milliseconds.
	RemainingMS int64 `json:"remaining_ms"`
}

// QuarantinePath returns PathQuarantined for the ID.
func QuarantinePath(id string) string { return PathQuarantine + "/" + id }
