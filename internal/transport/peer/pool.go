// Package peer connects nodes by drpc: a pool of client connections and the
// servers of the control and calls addresses.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// Errors of connections between nodes.
var (
	Errors = errorx.NewNamespace("peer")

	// ErrUnreachable says that no connection could be opened.
	ErrUnreachable = errorx.NewType(Errors, "unreachable")
	// ErrBusy says that the pool's bound for the address is reached.
	ErrBusy = errorx.NewType(Errors, "busy")
)

// IsBusy reports whether the error says that the pool's bound is reached.
func IsBusy(err error) bool { return errorx.IsOfType(err, ErrBusy) }

// MaxMessageBytes bounds one message between nodes.
const MaxMessageBytes = 4 << 20

// PoolOptions bounds a Pool.
type PoolOptions struct {
	// MaxPerAddress is how many connections may be open to one address.
	MaxPerAddress int
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// IdleTimeout closes connections that were not used for as long.
	IdleTimeout time.Duration
	// Dial opens a connection; nil uses TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Traffic counts the pool's bytes; nil counts nothing.
	Traffic *Traffic
}

// Pool keeps connections to other nodes. One connection carries one call at a
// time.
type Pool struct {
	options PoolOptions

	mu    sync.Mutex
	paths map[string]*path
}

// path is the pool's state for one address.
type path struct {
	open int
	idle []*Conn
}

// Conn is a pooled connection, used by one call at a time.
type Conn struct {
	*drpcconn.Conn
	pool     *Pool
	address  string
	lastUsed time.Time
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	if options.Dial == nil {
		options.Dial = DialFrom("")
	}
	return &Pool{options: options, paths: make(map[string]*path)}
}

// DialFrom returns a dial function whose connections leave from the IP address
// of the listen address, so that the other end and firewalls between can tell
// the nodes of one host apart. An unspecified address leaves it to the system.
func DialFrom(listenAddress string) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: KeepAlive}
	listen, err := netip.ParseAddrPort(listenAddress)
	if err == nil && !listen.Addr().IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(listen.Addr(), 0))
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// Get returns an idle connection to the address, or a new one. It fails with
// ErrBusy or ErrUnreachable. The caller ends with Release or Discard.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if conn := p.takeIdle(address, time.Now()); conn != nil {
		return conn, nil
	}
	return p.Dial(ctx, address)
}

// Dial returns a newly opened connection to the address, so that its success
// or failure tells about the peer and not about an older connection.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	if !p.reserve(address) {
		return nil, ErrBusy.New("%d connections to %s are open already: raise the bound or send less", p.options.MaxPerAddress, address)
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, ErrUnreachable.New("%s: %v: check that the node runs and the network lets it through", address, err)
	}
	conn := &Conn{
		Conn:    drpcconn.NewWithOptions(p.options.Traffic.wrap(&deadlineConn{Conn: raw, timeout: writeTimeout}), drpcconn.Options{Manager: managerOptions()}),
		pool:    p,
		address: address,
	}
	return conn, nil
}

// DropIdle closes the idle connections to the address. It is called when one
// connection of the path went silent, since its siblings share its fate.
func (p *Pool) DropIdle(address string) {
	p.mu.Lock()
	var dropped []*Conn
	if path := p.paths[address]; path != nil {
		dropped = path.idle
		path.idle = nil
		path.open -= len(dropped)
	}
	p.mu.Unlock()
	closeAll(dropped)
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var dropped []*Conn
	for address, path := range p.paths {
		kept := path.idle[:0]
		for _, conn := range path.idle {
			if p.expired(conn, now) {
				dropped = append(dropped, conn)
				path.open--
				continue
			}
			kept = append(kept, conn)
		}
		path.idle = kept
		if path.open == 0 {
			delete(p.paths, address)
		}
	}
	p.mu.Unlock()
	closeAll(dropped)
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.mu.Lock()
	var dropped []*Conn
	for _, path := range p.paths {
		dropped = append(dropped, path.idle...)
		path.open -= len(path.idle)
		path.idle = nil
	}
	p.mu.Unlock()
	closeAll(dropped)
}

// Release gives the connection back for other calls. A closed one is dropped.
func (c *Conn) Release() {
	select {
	case <-c.Closed():
		c.Discard()
		return
	default:
	}
	c.lastUsed = time.Now()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if path := c.pool.paths[c.address]; path != nil {
		path.idle = append(path.idle, c)
	}
}

// UsedWithin reports whether an exchange on the connection ended within the
// limit before now.
func (c *Conn) UsedWithin(now time.Time, limit time.Duration) bool {
	return now.Sub(c.lastUsed) <= limit
}

// Discard closes the connection.
func (c *Conn) Discard() {
	_ = c.Conn.Close()
	c.pool.release(c.address)
}

func (p *Pool) takeIdle(address string, now time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.paths[address]
	if path == nil {
		return nil
	}
	for len(path.idle) > 0 {
		last := len(path.idle) - 1
		conn := path.idle[last]
		path.idle = path.idle[:last]
		if !p.expired(conn, now) && !closed(conn) {
			return conn
		}
		path.open--
		go conn.Conn.Close()
	}
	return nil
}

func (p *Pool) expired(conn *Conn, now time.Time) bool {
	return now.Sub(conn.lastUsed) > p.options.IdleTimeout
}

func closed(conn *Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

func (p *Pool) reserve(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.paths[address]
	if at == nil {
		at = &path{}
		p.paths[address] = at
	}
	if at.open >= p.options.MaxPerAddress {
		return false
	}
	at.open++
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path := p.paths[address]; path != nil {
		path.open--
	}
}

func closeAll(conns []*Conn) {
	for _, conn := range conns {
		_ = conn.Conn.Close()
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}
