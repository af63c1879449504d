// Package relay stands in for a network path in tests and demonstrations: it
// forwards TCP connections on loopback and cuts, silences or delays them on
// request. The product does not use it.
package relay

import (
	"errors"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the connection to the relay's destination.
const dialTimeout = 5 * time.Second

// Classifier names the origin of an accepted connection, so that a relay can
// treat connections of different origins differently.
type Classifier func(conn net.Conn) string

// Options configure a relay.
type Options struct {
	// Classify names origins; nil gives every connection the origin "".
	Classify Classifier
	// Mode is the mode of every origin to start in.
	Mode Mode
}

// Relay forwards connections to one destination.
type Relay struct {
	destination string
	classify    Classifier
	listener    net.Listener
	closed      chan struct{}
	duties      sync.WaitGroup

	mu        sync.Mutex
	isClosed  bool
	otherwise Mode            // of origins without one of their own
	modes     map[string]Mode // by origin
	links     map[*link]struct{}
	stats     Stats
}

// Stats count what a relay did.
type Stats struct {
	// Accepted counts connections that were forwarded or left hanging.
	Accepted int64 `json:"accepted"`
	// Refused counts connections that were reset.
	Refused int64 `json:"refused"`
	// Open is how many connections are held now.
	Open int `json:"open"`
	// Bytes counts forwarded bytes of both directions.
	Bytes int64 `json:"bytes"`
	// DroppedBytes counts bytes that went nowhere.
	DroppedBytes int64 `json:"dropped_bytes"`
}

// Start forwards connections to address, for example "127.0.0.1:0", on to
// destination.
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
		otherwise:   options.Mode,
		modes:       make(map[string]Mode),
		links:       make(map[*link]struct{}),
	}
	r.duties.Go(r.accept)
	return r, nil
}

// Address returns the host and port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetMode replaces the mode of every origin, for open connections too.
func (r *Relay) SetMode(mode Mode) error {
	if err := mode.Validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.otherwise = mode
	clear(r.modes)
	for l := range r.links {
		l.apply(mode)
	}
	return nil
}

// SetOriginMode replaces the mode of one origin, for its open connections too.
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

// Mode returns the mode of an origin.
func (r *Relay) Mode(origin string) Mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.modeOf(origin)
}

func (r *Relay) modeOf(origin string) Mode {
	if mode, ok := r.modes[origin]; ok {
		return mode
	}
	return r.otherwise
}

// Stats returns the counters.
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
	r.duties.Wait()
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
		r.duties.Go(func() { r.serve(conn) })
	}
}

// serve forwards one connection until it ends.
func (r *Relay) serve(conn net.Conn) {
	l := r.open(conn)
	if l == nil {
		reset(conn)
		return
	}
	defer r.remove(l)
	if l.hangs {
		l.swallow()
		return
	}
	upstream, err := net.DialTimeout("tcp", r.destination, dialTimeout)
	if err != nil {
		l.reset()
		return
	}
	l.forward(upstream)
}

// open registers the connection, or returns nil if it is to be refused.
func (r *Relay) open(conn net.Conn) *link {
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

func (r *Relay) count(forwarded, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Bytes += int64(forwarded)
	r.stats.DroppedBytes += int64(dropped)
}
