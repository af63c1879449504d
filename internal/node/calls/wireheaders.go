package calls

import (
	"fmt"
	"net/http"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/protocol/wire"
)

func toWireHeaders(header http.Header) []*wire.Header {
	list := make([]*wire.Header, 0, len(header))
	for name, values := range header {
		list = append(list, &wire.Header{Name: name, Values: values})
	}
	return list
}

// wireHeaderValue returns the first value of the header.
func wireHeaderValue(headers []*wire.Header, name string) string {
	name = http.CanonicalHeaderKey(name)
	for _, h := range headers {
		if h.Name == name && len(h.Values) > 0 {
			return h.Values[0]
		}
	}
	return ""
}

// formatID formats a call ID for the call-ID header.
func formatID(id call.ID) string {
	return fmt.Sprintf("%s-%x-%x", id.Entry, id.Incarnation, id.Counter)
}
