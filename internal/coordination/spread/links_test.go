package spread

import (
	"time"

	"jasminegate/internal/coordination/acceptance"
)

// Sizes and rates of a deployment whose configuration is large for its links.
const (
	// largeTicketBytes is the size of a ticket with 3,600 routes.
	largeTicketBytes = 670_000
	// slowLinkBytesPerS is 5 Mbit/s.
	slowLinkBytesPerS = 625_000
	// fastLinkKbps is the bandwidth of the instances with the best links.
	fastLinkKbps = 100_000
	// storeBytesPerS is what all readers of the platform's log share.
	storeBytesPerS = 80_000_000
	// stateCompression is by how much the encoding between nodes is smaller than the
	// ticket.
	stateCompression = 8
	// maxReadBytes is the size after which the platform ends the response to a read.
	maxReadBytes = 1 << 20
)

// links models the time that tickets and full states take on the links of the nodes
// and of the platform. Each link transfers one message at a time.
type links struct {
	ticketBytes int
	// slowBytesPerS is the rate of a slow link in either direction, without the calls
	// that use it too.
	slowBytesPerS int
	// fastPerDomain is the number of nodes in each domain that have a fast link.
	fastPerDomain int
	// inFreeAt, outFreeAt and storeFreeAt are when the link ends its last transfer.
	inFreeAt, outFreeAt map[*node]time.Time
	storeFreeAt         time.Time
	// newestReads counts responses with the newest ticket, readBytes all bytes of
	// tickets that the platform sent.
	newestReads int
	readBytes   int
}

// newLinks returns links on which every ticket has ticketBytes bytes and every node
// has a slow link.
func newLinks(ticketBytes int) *links {
	return &links{
		ticketBytes:   ticketBytes,
		slowBytesPerS: slowLinkBytesPerS,
		inFreeAt:      make(map[*node]time.Time),
		outFreeAt:     make(map[*node]time.Time),
	}
}

// bytesPerS returns the rate of a node's link in either direction.
func (l *links) bytesPerS(n *node) int {
	if n.member.BandwidthKbps > 0 {
		return int(n.member.BandwidthKbps) * 1000 / 8
	}
	return l.slowBytesPerS
}

// occupy adds a transfer to a link that is free at freeAt and returns its end.
func occupy(now, freeAt time.Time, bytes, bytesPerS int) time.Time {
	start := now
	if freeAt.After(now) {
		start = freeAt
	}
	return start.Add(time.Duration(bytes) * time.Second / time.Duration(bytesPerS))
}

// recordsPerRead is how many tickets the platform sends in one response.
func (f *fleet) recordsPerRead() int64 {
	if f.links == nil || f.links.ticketBytes == 0 {
		return 8
	}
	return int64(max(1, maxReadBytes/f.links.ticketBytes))
}

// deliverRead delivers the platform's response once it is transferred.
func (f *fleet) deliverRead(n *node, event Event, reply func(Event)) {
	bytes := 0
	if f.links != nil {
		switch e := event.(type) {
		case NewestTicketRead:
			f.links.newestReads++
			bytes = len(e.Records) * f.links.ticketBytes * 4 / 3 // in base64
		case TicketsRead:
			bytes = len(e.Records) * f.links.ticketBytes
		}
	}
	if bytes == 0 {
		reply(event)
		return
	}
	l := f.links
	l.readBytes += bytes
	l.storeFreeAt = occupy(f.now, l.storeFreeAt, bytes, storeBytesPerS)
	l.inFreeAt[n] = occupy(f.now, l.inFreeAt[n], bytes, l.bytesPerS(n))
	end := l.inFreeAt[n]
	if l.storeFreeAt.After(end) {
		end = l.storeFreeAt
	}
	reply(ReadResponding{})
	f.after(end.Sub(f.now), func() { reply(event) })
}

// sendState runs deliver once an update has been transferred from one node to
// another. Incremental updates are small and take no time.
func (f *fleet) sendState(from, to *node, update acceptance.Update, deliver func()) {
	if f.links == nil || !update.Full() || len(update.Resources) == 0 {
		deliver()
		return
	}
	l, bytes := f.links, f.links.ticketBytes/stateCompression
	l.outFreeAt[from] = occupy(f.now, l.outFreeAt[from], bytes, l.bytesPerS(from))
	l.inFreeAt[to] = occupy(f.now, l.inFreeAt[to], bytes, l.bytesPerS(to))
	end := l.outFreeAt[from]
	if l.inFreeAt[to].After(end) {
		end = l.inFreeAt[to]
	}
	f.after(end.Sub(f.now), deliver)
}
