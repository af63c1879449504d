// Package relay simulates a network path in tests and demonstrations: it is a TCP
// proxy that can reset, blackhole or delay connections. The product does not use
// it.
package relay

import (
	"errors"
	"net"
	"sync"
	"time"
)

// dialTimeout is the timeout for connecting to the relay's destination.
const dialTimeout = 5 * time.Second

// Classifier returns the origin of an accepted connection. A relay can have a
// different mode for each origin.
type Classifier func(conn net.Conn) string

// Options configure a relay.
type Options struct {
	// Classify returns the origin of a connection; nil means that all have the
	// origin "".
	Classify Classifier
	// Mode is the initial mode of every origin.
	Mode Mode
}

// Relay forwards connections to one destination.
type Relay struct {
	destination string
	classify    Classifier
	listener    net.Listener
	closed      chan struct{}
	goroutines  sync.WaitGroup

	mu          sync.Mutex
	isClosed    bool
	defaultMode Mode            // of origins that are not in modes
	modes       map[string]Mode // by origin
	links       map[*link]struct{}
	stats       Stats
}

// Stats holds the counters of a relay.
type Stats struct {
	// Accepted counts connections that were forwarded or silent from the start.
	Accepted int64 `json:"accepted"`
	// Refused counts new connections that were reset.
	Refused int64 `json:"refused"`
	// Open is the number of open connections.
	Open int `json:"open"`
	// Bytes counts the forwarded bytes of both directions.
	Bytes int64 `json:"bytes"`
	// DroppedBytes counts the bytes dropped on silent connections.
	DroppedBytes int64 `json:"dropped_bytes"`
}

// Start starts a relay that listens on address, for example "127.0.0.1:0", and
// forwards connections to destination. It fails if the mode is invalid or if it
// can't listen.
func Start(address, destination string, options Options) (*Relay, error) {
	if err := options.Mode.Validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	classify := options.Classify
	if classify == nil {
		classify = func(net.Conn) string { return "" }
	}
	r := &Relay{
		destination: destination,
		classify:    classify,
		listener:    listener,
		closed:      make(chan struct{}),
		defaultMode: options.Mode,
		modes:       make(map[string]Mode),
		links:       make(map[*link]struct{}),
	}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Address returns the host and port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetMode replaces the mode of every origin and applies it to open connections.
func (r *Relay) SetMode(mode Mode) error {
	if err := mode.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultMode = mode
	clear(r.modes)
	for l := range r.links {
		l.apply(mode)
	}
	return nil
}

// SetOriginMode replaces the mode of one origin and applies it to its open
// connections.
func (r *Relay) SetOriginMode(origin string, mode Mode) error {
	if err := mode.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[origin] = mode
	for l := range r.links {
		if l.origin == origin {
			l.apply(mode)
		}
	}
	return nil
}

// Mode returns the current mode of an origin.
func (r *Relay) Mode(origin string) Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.modeOf(origin)
}

func (r *Relay) modeOf(origin string) Mode {
	if mode, ok := r.modes[origin]; ok {
		return mode
	}
	return r.defaultMode
}

// Stats returns a copy of the counters.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats
	stats.Open = len(r.links)
	return stats
}

// Close stops the relay and resets every connection.
func (r *Relay) Close() error {
	r.mu.Lock()
	if r.isClosed {
		r.mu.Unlock()
		return nil
	}
	r.isClosed = true
	close(r.closed)
	for l := range r.links {
		l.reset()
	}
	r.mu.Unlock()
	err := r.listener.Close()
	r.goroutines.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.goroutines.Go(func() { r.serve(conn) })
	}
}

// serve forwards one connection until it ends.
func (r *Relay) serve(conn net.Conn) {
	l := r.register(conn)
	if l == nil {
		reset(conn)
		return
	}
	defer r.remove(l)
	if l.silentFromStart {
		l.discard()
		return
	}
	destination, err := net.DialTimeout("tcp", r.destination, dialTimeout)
	if err != nil {
		l.reset()
		return
	}
	l.forward(destination)
}

// register registers the connection. It returns nil if the connection is to be
// refused.
func (r *Relay) register(conn net.Conn) *link {
	origin := r.classify(conn)
	r.mu.Lock()
	defer r.mu.Unlock()
	mode := r.modeOf(origin)
	if r.isClosed || mode.Kind == Refuse {
		r.stats.Refused++
		return nil
	}
	l := newLink(r, conn, origin, mode)
	r.links[l] = struct{}{}
	r.stats.Accepted++
	return l
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) countBytes(forwarded, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Bytes += int64(forwarded)
	r.stats.DroppedBytes += int64(dropped)
}
