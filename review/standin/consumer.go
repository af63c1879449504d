package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a consumer got for one attempt.
type answer struct {
	attempt string
	node    string
	sent    time.Time
	took    time.Duration
	status  int // 0 if the connection ended without a response
	body    string
	err     error
}

var attempts atomic.Int64

// send sends one request to the Outbound address of a machine, over a new connection.
func (t *trial) send(m machine, method, host, path, body string, limit time.Duration) answer {
	a := answer{attempt: fmt.Sprintf("a%06d", attempts.Add(1)), node: m.name, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+m.ip+":"+portOutbound+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set(headerAttempt, a.attempt)
	request.Header.Set(headerDeadline, fmt.Sprint(limit.Milliseconds()))
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
	} else {
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body, a.err = response.StatusCode, string(data), err
	}
	a.took = time.Since(a.sent)
	t.note("sent %s %s %s to %s, answered %d after %d ms %v", a.attempt, method, path, m.name, a.status, a.took.Milliseconds(), errText(a.err))
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sendFor sends requests to all machines at an interval, and returns the answers.
func (t *trial) sendFor(span, interval time.Duration, machines []machine, method, host, path string, limit time.Duration) []answer {
	var mu sync.Mutex
	var answers []answer
	var group sync.WaitGroup
	for _, m := range machines {
		group.Go(func() {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
				group.Go(func() {
					a := t.send(m, method, host, path, "", limit)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				})
			}
		})
	}
	group.Wait()
	return answers
}
