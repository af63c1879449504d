package members

import (
	"sync"
	"time"

	"jasminegate/internal/coordination/membership"
)

// replies delivers the machine's acks to the waiting Exchange handlers, by token.
type replies struct {
	mu        sync.Mutex
	lastToken uint64
	pending   map[uint64]chan membership.Ack
}

func (r *replies) open() (uint64, <-chan membership.Ack) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[uint64]chan membership.Ack)
	}
	r.lastToken++
	reply := make(chan membership.Ack, 1)
	r.pending[r.lastToken] = reply
	return r.lastToken, reply
}

func (r *replies) close(token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, token)
}

func (r *replies) deliver(token uint64, ack membership.Ack) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply := r.pending[token]; reply != nil {
		reply <- ack
		delete(r.pending, token)
	}
}

// loads stores the load that each peer last reported.
type loads struct {
	mu     sync.RWMutex
	byNode map[string]loadReport
}

type loadReport struct {
	load uint32
	at   time.Time
}

func (l *loads) set(id string, load uint32, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byNode == nil {
		l.byNode = make(map[string]loadReport)
	}
	l.byNode[id] = loadReport{load: load, at: at}
}

func (l *loads) get(id string) (uint32, time.Time, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	report, ok := l.byNode[id]
	return report.load, report.at, ok
}

func (l *loads) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byNode, id)
}
