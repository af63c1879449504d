package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminegate/internal/protocol/headers"
	"jasminegate/internal/standin/target"
)

// result is what became of one sent call.
type result struct {
	outcome    Outcome
	latency    time.Duration
	detail     string
	retryAfter bool
}

// graceAfterTimeout is how much longer than its timeout a caller waits for the
// system's own answer.
const graceAfterTimeout = 2 * time.Second

func send(ctx context.Context, client *http.Client, entry string, call Call, due time.Time) result {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout+graceAfterTimeout)
	defer cancel()
	request, err := newRequest(ctx, entry, call)
	if err != nil {
		return result{outcome: Failed, detail: err.Error()}
	}
	response, err := client.Do(request)
	if err != nil {
		return result{outcome: Failed, latency: time.Since(due), detail: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	latency := time.Since(due)
	if err != nil {
		return result{outcome: Failed, latency: latency, detail: "answer cut off: " + err.Error()}
	}
	return classify(call, response, body, latency)
}

func newRequest(ctx context.Context, entry string, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry+call.URI, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	// The client would repeat a call on a reused connection if it could read
	// the body again.
	request.GetBody = nil
	request.Header.Set(target.HeaderTestID, call.ID)
	request.Header.Set(headers.Timeout, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	if call.Key != "" {
		request.Header.Set(headers.IdempotencyKey, call.Key)
	}
	return request, nil
}

func classify(call Call, response *http.Response, body []byte, latency time.Duration) result {
	outcome := response.Header.Get(headers.Outcome)
	detail := fmt.Sprintf("%d %s: %.200s", response.StatusCode, outcome, body)
	switch outcome {
	case "":
	case string(NotRun):
		return result{outcome: NotRun, latency: latency, detail: detail, retryAfter: response.Header.Get(headers.RetryAfter) != ""}
	case string(Unknown):
		return result{outcome: Unknown, latency: latency, detail: detail}
	default:
		return result{outcome: Refused, latency: latency, detail: detail}
	}
	if response.StatusCode != http.StatusOK {
		return result{outcome: Refused, latency: latency, detail: detail}
	}
	if err := call.echo().Check(body); err != nil {
		return result{outcome: Failed, latency: latency, detail: err.Error()}
	}
	return result{outcome: Answered, latency: latency}
}

// echo is the answer that the call must get.
func (c Call) echo() target.Echo {
	return target.Echo{ID: c.ID, Method: c.Method, URI: c.URI, BodyHash: xxhash.Sum64(c.Body), MinBodyBytes: c.MinResponseBytes}
}
