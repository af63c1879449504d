package entry

import "time"

// maxPatientRoutes bounds the routes whose callers' patience is remembered.
const maxPatientRoutes = 4096

// Patience tells how long a caller has waited already. Callers say how long they
// still wait, and those of one route begin alike: one that waits for less than the
// most patient has come back after an attempt that failed.
type Patience struct {
	longest map[string]time.Duration
}

// NewPatience returns a Patience that knows no route.
func NewPatience() *Patience { return &Patience{longest: make(map[string]time.Duration)} }

// Waited returns how long a caller of the route, which waits for left, has waited
// in earlier attempts.
func (p *Patience) Waited(route string, left time.Duration) time.Duration {
	longest, known := p.longest[route]
	if known && left <= longest {
		return longest - left
	}
	if !known && len(p.longest) >= maxPatientRoutes {
		clear(p.longest)
	}
	p.longest[route] = left
	return 0
}
