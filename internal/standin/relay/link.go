package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 32 << 10
	// delayedChunks limits the chunks that one direction buffers while they are
	// delayed.
	delayedChunks = 64
)

// link is one accepted connection with the connection to the relay's destination.
type link struct {
	relay           *Relay
	origin          string
	silentFromStart bool
	client          net.Conn
	done            chan struct{} // closed by reset

	mu          sync.Mutex
	destination net.Conn // to the relay's destination; nil until dialled
	isReset     bool
	silent      bool
	delay       time.Duration
}

// chunk holds bytes that are to be forwarded at the time due.
type chunk struct {
	due  time.Time
	data []byte
}

func newLink(relay *Relay, client net.Conn, origin string, mode Mode) *link {
	return &link{
		relay:           relay,
		origin:          origin,
		silentFromStart: mode.Kind == Silent && mode.SilenceNew,
		client:          client,
		done:            make(chan struct{}),
		delay:           mode.delay(),
	}
}

// apply applies a mode that is set while the link is open.
func (l *link) apply(mode Mode) {
	if mode.Kind == Refuse {
		l.reset()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = mode.delay()
	if mode.Kind == Silent {
		l.silent = true
	}
}

// reset closes both connections with a TCP reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isReset {
		return
	}
	l.isReset = true
	close(l.done)
	reset(l.client)
	if l.destination != nil {
		reset(l.destination)
	}
}

// discard reads and discards bytes until the client closes the connection.
func (l *link) discard() {
	dropped, _ := io.Copy(io.Discard, l.client)
	l.relay.countBytes(0, int(dropped))
	l.reset()
}

// forward copies bytes in both directions until both have ended.
func (l *link) forward(destination net.Conn) {
	l.mu.Lock()
	l.destination = destination
	alreadyReset := l.isReset
	l.mu.Unlock()
	if alreadyReset {
		reset(destination)
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.copy(destination, l.client) })
	directions.Go(func() { l.copy(l.client, destination) })
	directions.Wait()
	l.close()
}

// copy forwards one direction. It also forwards the close of src to dst, unless
// the link is silent.
func (l *link) copy(dst, src net.Conn) {
	chunks := make(chan chunk, delayedChunks)
	var reading sync.WaitGroup
	var readErr error
	reading.Go(func() {
		defer close(chunks)
		readErr = l.read(src, chunks)
	})
	for chunk := range chunks {
		if !l.write(dst, chunk) {
			l.reset()
		}
	}
	reading.Wait()
	if l.isSilent() {
		return
	}
	if readErr != io.EOF {
		l.reset()
		return
	}
	closeWrite(dst)
}

// read sends the bytes of src to chunks until src fails or ends, and returns the
// error (io.EOF at the end).
func (l *link) read(src net.Conn, chunks chan<- chunk) error {
	for {
		data := make([]byte, chunkBytes)
		size, err := src.Read(data)
		if size > 0 {
			chunks <- chunk{due: time.Now().Add(l.currentDelay()), data: data[:size]}
		}
		if err != nil {
			return err
		}
	}
}

// write forwards a chunk when it is due, or drops it on a silent link. It
// returns false if the write to dst fails.
func (l *link) write(dst net.Conn, chunk chunk) bool {
	l.sleepUntil(chunk.due)
	if l.isSilent() {
		l.relay.countBytes(0, len(chunk.data))
		return true
	}
	// Counted before the write, so that the count includes all that a peer has received.
	l.relay.countBytes(len(chunk.data), 0)
	if _, err := dst.Write(chunk.data); err != nil {
		l.relay.countBytes(-len(chunk.data), 0)
		return l.isSilent()
	}
	return true
}

func (l *link) sleepUntil(due time.Time) {
	wait := time.Until(due)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *link) currentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

// close closes both connections without a reset.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.client.Close()
	l.destination.Close()
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
