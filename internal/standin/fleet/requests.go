package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// requestTimeout limits one HTTP request to a process of the fleet.
	requestTimeout = 5 * time.Second
	// maxResponseBytes limits a response; ledgers can be large.
	maxResponseBytes = 1 << 30
)

// StatusError is an HTTP response with a status other than 2xx.
type StatusError struct {
	URL    string
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d: %.300s", e.URL, e.Status, e.Body)
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

// send sends one request and returns the response body. A status other than 2xx
// is a *StatusError.
func send(ctx context.Context, client *http.Client, method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return responseBody, &StatusError{URL: url, Status: response.StatusCode, Body: responseBody}
	}
	return responseBody, nil
}

func get(ctx context.Context, client *http.Client, url string, result any) error {
	data, err := send(ctx, client, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}
