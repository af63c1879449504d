// Package link decides when a node sends large responses over its instance's link, and whether
// one that it is asked for can still be sent in time.
package link

import "time"

const (
	// usableShare is the part of the bandwidth that large responses may take. The rest is for
	// what is not counted: short messages, headers and retransmissions.
	usableShare = 0.85
	// burstBytes may be sent ahead of the bandwidth. It bounds how long a short message waits
	// for large ones in the instance's send queues: 73 ms at 7 Mbit/s.
	burstBytes = 64 << 10
	// averageWeight is the weight of the latest response in a route's average size.
	averageWeight = 1.0 / 16
	bitsPerByte   = 8
	bitsPerMbit   = 1e6
)

// Machine follows the link of one instance. It is not safe for concurrent use.
//
// Load pattern: routes with large responses ask for more than the links of a service bear, while
// short calls and heartbeats use the same links.
type Machine struct {
	// bytesPerSecond is the usable bandwidth; 0 if the bandwidth is unknown.
	bytesPerSecond float64
	// freeAt is when the link has sent what it was given so far.
	freeAt time.Time
	// average is the mean size of a route's responses in bytes.
	average map[string]float64
	// expected is the size in bytes of the responses that are still to be sent.
	expected float64
}

// New returns a machine for a link of the given bandwidth, 0 if that is unknown.
func New(mbitPerSecond float64) *Machine {
	return &Machine{bytesPerSecond: usableShare * mbitPerSecond * bitsPerMbit / bitsPerByte, average: make(map[string]float64)}
}

// Use is the use that one call makes of the link: its response takes a turn after those that
// began before it.
type Use struct {
	route string
	// expected is the size of the response in bytes, as far as it is known before the first of
	// it is sent.
	expected float64
	// begin is when the response's turn begins, reserved how many bytes it was given, and sent
	// how many of them were sent.
	begin          time.Time
	reserved, sent float64
}

// Admit records a call of the route. It returns nil if its response cannot be sent within the
// time that is left, after those of the calls that were admitted before.
func (m *Machine) Admit(now time.Time, route string, left time.Duration) *Use {
	expected := m.average[route]
	if m.bytesPerSecond > 0 && expected > burstBytes && m.backlog(now)+m.duration(expected) > left {
		return nil
	}
	m.expected += expected
	return &Use{route: route, expected: expected}
}

// Send gives the link n bytes of the call's response, and returns how long to wait before they
// are sent.
func (m *Machine) Send(now time.Time, u *Use, n int) time.Duration {
	if m.bytesPerSecond == 0 {
		u.sent += float64(n)
		return 0
	}
	if u.reserved == 0 {
		m.expected -= u.expected
		u.begin = later(m.freeAt, now)
		m.freeAt = u.begin
	}
	u.sent += float64(n)
	if more := max(u.sent, u.expected) - u.reserved; more > 0 {
		u.reserved += more
		m.freeAt = later(m.freeAt, now).Add(m.duration(more))
	}
	return max(0, u.begin.Add(m.duration(u.sent-burstBytes)).Sub(now))
}

// End records the end of the call. complete says that its whole response was sent.
func (m *Machine) End(u *Use, complete bool) {
	if u.reserved == 0 {
		m.expected -= u.expected
	} else {
		m.freeAt = m.freeAt.Add(-m.duration(u.reserved - u.sent))
	}
	if !complete {
		return
	}
	average, known := m.average[u.route]
	if !known {
		average = u.sent
	}
	m.average[u.route] = average + averageWeight*(u.sent-average)
}

// backlog returns how long the link is busy with what it was given and what is expected.
func (m *Machine) backlog(now time.Time) time.Duration {
	return max(0, m.freeAt.Sub(now)) + m.duration(max(0, m.expected))
}

// duration returns how long the link takes to send the bytes.
func (m *Machine) duration(bytes float64) time.Duration {
	return time.Duration(bytes / m.bytesPerSecond * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
