package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// defaultTTL is the time to live of an announcement if Options.TTL is 0.
	defaultTTL = 3 * time.Second
	// renewalsPerTTL is how often an announcement is renewed within its TTL.
	renewalsPerTTL = 3
	// announceTimeout limits one request to the node.
	announceTimeout = time.Second
)

// Announcement is the JSON body of PUT /target at the node's admin address.
type Announcement struct {
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Address     string `json:"address"`
	Instance    string `json:"instance"`
	State       State  `json:"state"`
	TTLMS       int64  `json:"ttl_ms"`
	Version     string `json:"version,omitempty"`
}

// announcer announces a target to its node and renews the announcement.
type announcer struct {
	target  *Target
	address string
	ttl     time.Duration
	client  *http.Client
	drained chan struct{} // closed after the attempt to announce the draining state
}

func newAnnouncer(target *Target, address string) *announcer {
	ttl := target.options.TTL
	if ttl <= 0 {
		ttl = defaultTTL
	}
	return &announcer{
		target:  target,
		address: address,
		ttl:     ttl,
		client:  &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		drained: make(chan struct{}),
	}
}

// run announces the target at once, at every change of state and periodically
// before the TTL expires, until ctx ends. A failed announcement is retried at
// the next renewal.
func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	ticker := time.NewTicker(a.ttl / renewalsPerTTL)
	defer ticker.Stop()
	closeDrained := sync.OnceFunc(func() { close(a.drained) })
	for {
		state, changed := a.target.State()
		// Not cancelled by ctx: a cancelled renewal could still reach the node
		// after the announcement has been withdrawn.
		a.put(context.WithoutCancel(ctx), state)
		if state == StateDraining {
			closeDrained()
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *announcer) put(ctx context.Context, state State) error {
	body, err := json.Marshal(Announcement{
		Service:     a.target.options.Service,
		Slots:       a.target.options.AnnouncedSlots,
		Connections: a.target.options.Connections,
		Address:     a.address,
		Instance:    a.target.Instance(),
		State:       state,
		TTLMS:       a.ttl.Milliseconds(),
		Version:     a.target.options.Version,
	})
	if err != nil {
		return err
	}
	return a.send(ctx, http.MethodPut, body)
}

// withdraw deletes the announcement at the node.
func (a *announcer) withdraw(ctx context.Context) error {
	defer a.client.CloseIdleConnections()
	return a.send(ctx, http.MethodDelete, nil)
}

func (a *announcer) send(ctx context.Context, method string, body []byte) error {
	url := "http://" + a.target.options.NodeAddress + "/target"
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("node responded to %s %s with status %d", method, url, response.StatusCode)
	}
	return nil
}
