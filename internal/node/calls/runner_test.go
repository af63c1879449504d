package calls

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Uri", r.URL.RequestURI())
	w.Header().Set("X-Host", r.Host)
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(append([]byte(r.Header.Get("X-Tag")+":"), body...))
}

func TestCallsPassUnchanged(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 20<<10)
	for _, remote := range []bool{false, true} {
		f := newFleet(t, fleetOptions{nodes: 2, remoteOnly: remote}, echo)
		for _, body := range []string{"", "small", large} {
			got := f.call(0, "POST", "/file/a%2Fb?x=1&y=%20", body, "X-Tag", "t1")
			f.is.NoErr(got.err)
			f.is.Equal(got.status, http.StatusCreated)
			f.is.Equal(got.header.Get("X-Uri"), "/file/a%2Fb?x=1&y=%20")
			f.is.True(got.body == "t1:"+body) // body changed
		}
	}
}
