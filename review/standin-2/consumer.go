package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Answer is what a consumer got for one attempt.
type Answer struct {
	ID     string
	Status int
	Seal   string
	Body   string
	Err    error
	SentAt time.Time
	Took   time.Duration
}

// Served reports whether the answer is the whole one of an upstream.
func (a Answer) Served() bool {
	return a.Err == nil && a.Status/100 == 2 && a.Seal != "" && strings.Contains(a.Body, a.ID)
}

// attempts numbers the consumers' attempts.
var attempts atomic.Uint64

// Request is a consumer's request.
type Request struct {
	Method, Path string
	Limit        time.Duration
	// Key is the tenant's key; empty for none.
	Key string
}

// Send sends one attempt to the machine's node on a new connection.
func (m *Machine) Send(request Request) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", 0x5a00000000000000+attempts.Add(1)), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), request.Limit)
	defer cancel()
	record := m.fleet.Record
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+m.Outbound+request.Path, nil)
	if err != nil {
		a.Err = err
		return a
	}
	outgoing.Host, outgoing.Close = host, true
	outgoing.Header.Set(headerAttempt, a.ID)
	outgoing.Header.Set(headerDeadline, strconv.FormatInt(request.Limit.Milliseconds(), 10))
	key := ""
	if request.Key != "" {
		key = "Token " + request.Key
		outgoing.Header.Set("Authorization", key)
	}
	record.Line("consumer sends %s %s %s to %s %s", request.Method, request.Path, a.ID, m.Name, key)
	response, err := http.DefaultClient.Do(outgoing)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.Status, a.Seal, a.Body = response.StatusCode, response.Header.Get(headerSeal), string(body)
	}
	a.Err, a.Took = err, time.Since(a.SentAt)
	if err != nil {
		record.Line("consumer gets no answer to %s after %d ms: %v", a.ID, a.Took.Milliseconds(), err)
		return a
	}
	shown := ""
	if a.Seal == "" {
		shown = " of the system: " + firstBytes(a.Body, 300)
	}
	record.Line("consumer gets %d for %s after %d ms%s", a.Status, a.ID, a.Took.Milliseconds(), shown)
	return a
}

func firstBytes(text string, most int) string { return text[:min(len(text), most)] }
