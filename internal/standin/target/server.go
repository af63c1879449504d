package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleBeforeStop is how long a draining target must be idle before it stops,
	// so that requests in transit still run.
	idleBeforeStop = 300 * time.Millisecond
	// idlePollInterval is the interval between two checks for idleness.
	idlePollInterval = 10 * time.Millisecond
)

// Server is a target that listens on a TCP address and announces itself.
type Server struct {
	*Target
	listener      net.Listener
	http          *http.Server
	announcer     *announcer
	cancel        context.CancelFunc
	announcerDone sync.WaitGroup
}

// Start serves a new target on address, for example "127.0.0.1:0". It fails if
// the options are incomplete or invalid, or if it can't listen on address.
func Start(address string, options Options) (*Server, error) {
	if options.Service == "" || options.Slots < 1 {
		return nil, errors.New("target: a service and at least one slot are required")
	}
	if err := options.Mode.validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	target := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Target:    target,
		listener:  listener,
		http:      &http.Server{Handler: target, IdleTimeout: options.IdleTimeout},
		announcer: newAnnouncer(target, listener.Addr().String()),
		cancel:    cancel,
	}
	if options.ResetIdle {
		s.http.ConnState = resetIdle
	}
	go s.http.Serve(newLimitListener(listener, options.Connections))
	if options.NodeAddress != "" {
		s.announcerDone.Go(func() { s.announcer.run(ctx) })
	}
	return s, nil
}

// Address returns the host and port that the target listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the base URL for a client.
func (s *Server) URL() string { return "http://" + s.Address() }

// Stop shuts the target down gracefully: it announces the drain, finishes the
// requests in flight, withdraws the announcement and closes the server. If ctx
// ends first, Stop closes the remaining connections and returns ctx's error.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	s.awaitDrainAnnounced(ctx)
	err := s.awaitIdle(ctx)
	s.cancel()
	s.announcerDone.Wait()
	if s.options.NodeAddress != "" {
		s.announcer.withdraw(ctx)
	}
	if err == nil {
		err = s.http.Shutdown(ctx)
	}
	return errors.Join(err, s.http.Close())
}

// Close closes the listener and every connection at once, without a drain and
// without withdrawing the announcement.
func (s *Server) Close() error {
	s.cancel()
	s.announcerDone.Wait()
	return s.http.Close()
}

// awaitDrainAnnounced waits for the attempt to announce the drain.
func (s *Server) awaitDrainAnnounced(ctx context.Context) {
	if s.options.NodeAddress == "" {
		return
	}
	select {
	case <-s.announcer.drained:
	case <-ctx.Done():
	}
}

// awaitIdle waits until the target has been idle for idleBeforeStop. It
// returns ctx's error if ctx ends first.
func (s *Server) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	lastStarted := int64(0)
	for {
		use := s.slots.occupancy()
		started := s.ledger.snapshot(true).Totals.Started
		if use.busy+use.queued > 0 || started != lastStarted {
			idleSince = time.Now()
			lastStarted = started
		}
		if time.Since(idleSince) >= idleBeforeStop {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
