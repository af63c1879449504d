package problem

import (
	"encoding/json"
	"math"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

func TestWrite(t *testing.T) {
	cases := map[string]struct {
		problem    Problem
		status     int
		outcome    string
		retryAfter string
	}{
		"refused":           {Problem{Status: 503, Outcome: NotRun, RetryAfterMS: 1500}, 503, "not-run", "2"},
		"rounded up":        {Problem{Status: 503, Outcome: NotRun, RetryAfterMS: 1}, 503, "not-run", "1"},
		"whole second":      {Problem{Status: 503, Outcome: NotRun, RetryAfterMS: 1000}, 503, "not-run", "1"},
		"does not overflow": {Problem{Status: 503, Outcome: NotRun, RetryAfterMS: math.MaxInt64}, 503, "not-run", "9223372036854776"},
		"no retry delay":    {Problem{Status: 504, Outcome: Unknown}, 504, "outcome-unknown", ""},
		"negative delay":    {Problem{Status: 503, Outcome: NotRun, RetryAfterMS: -5}, 503, "not-run", ""},
		"no status":         {Problem{Outcome: Rejected}, 500, "rejected", ""},
		"invalid UTF-8":     {Problem{Status: 400, Outcome: Rejected, Detail: "\xff\x00"}, 400, "rejected", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			recorder := httptest.NewRecorder()
			Write(recorder, tc.problem)
			is.Equal(recorder.Code, tc.status)
			is.Equal(recorder.Header().Get("Jasminegate-Outcome"), tc.outcome)
			is.Equal(recorder.Header().Get("Retry-After"), tc.retryAfter)
			is.Equal(recorder.Header().Get("Content-Type"), "application/problem+json")
			var body Problem
			is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &body))
			is.Equal(body.Type, "urn:jasminegate:problem:"+tc.outcome)
			is.Equal(string(body.Outcome), tc.outcome)
			is.Equal(body.Status, tc.status)
		})
	}
}
