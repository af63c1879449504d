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

	"jasminegate/internal/protocol/codec"
)

// Errors of connections between nodes.
var (
	Errors = errorx.NewNamespace("peer")

	// ErrUnreachable means that no connection could be opened.
	ErrUnreachable = errorx.NewType(Errors, "unreachable")
	// ErrBusy means that a limit is reached: the pool's connections for the address,
	// or the message queue of the configuration runner.
	ErrBusy = errorx.NewType(Errors, "busy")
)

// IsBusy reports whether the error is an ErrBusy.
func IsBusy(err error) bool { return errorx.IsOfType(err, ErrBusy) }

// MaxMessageBytes bounds one message received from another node. It exceeds the
// largest update, also if compression does not shrink it.
const MaxMessageBytes = codec.MaxUpdateBytes + 64<<10

// PoolOptions are the limits and hooks of a Pool.
type PoolOptions struct {
	// MaxPerAddress is the maximum number of open connections to one address.
	MaxPerAddress int
	// MaxOpen is the maximum number of open connections to all addresses; 0 is no limit. Idle
	// ones are closed for new ones.
	MaxOpen int
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is the idle time after which a connection is not used again.
	IdleTimeout time.Duration
	// Dial opens a connection; nil uses TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Traffic counts the bytes of the pool's connections; nil counts nothing.
	Traffic *Traffic
}

// Pool is a pool of connections to other nodes. Each connection carries one call
// at a time. A Pool is safe for concurrent use.
type Pool struct {
	options PoolOptions

	mu        sync.Mutex
	byAddress map[string]*addressConns
}

// addressConns is the pool's state for one address. open counts all open
// connections to the address, idle or in use.
type addressConns struct {
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
	return &Pool{options: options, byAddress: make(map[string]*addressConns)}
}

// DialFrom returns a dial function whose connections have the IP address of the
// listen address as their source, so that the other end and firewalls between can
// distinguish the nodes of one host. If the listen address is empty, invalid or
// unspecified, the operating system chooses the source.
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
// ErrBusy or ErrUnreachable. The caller must call Release or Discard on the
// connection.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if conn := p.takeIdle(address, time.Now()); conn != nil {
		return conn, nil
	}
	return p.Dial(ctx, address)
}

// Dial opens a new connection to the address, so that its success or failure
// depends on the peer and not on the state of an idle connection. It fails with
// ErrBusy or ErrUnreachable. The caller must call Release or Discard on the
// connection.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	if !p.reserve(address) {
		return nil, ErrBusy.New("%d connections to %s, or %d to all nodes, are open already: raise the limit or send less", p.options.MaxPerAddress, address, p.options.MaxOpen)
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, ErrUnreachable.New("%s: %v: check that the node runs and that the network lets the connection through", address, err)
	}
	conn := &Conn{
		Conn:    drpcconn.NewWithOptions(p.options.Traffic.wrap(&deadlineConn{Conn: raw, timeout: writeTimeout}), drpcconn.Options{Manager: managerOptions()}),
		pool:    p,
		address: address,
	}
	return conn, nil
}

// DropIdle closes the idle connections to the address. It is called when a
// connection to the address became unresponsive, since the others use the same
// network path and are likely unresponsive too.
func (p *Pool) DropIdle(address string) {
	p.mu.Lock()
	var dropped []*Conn
	if conns := p.byAddress[address]; conns != nil {
		dropped = conns.idle
		conns.idle = nil
		conns.open -= len(dropped)
	}
	p.mu.Unlock()
	closeAll(dropped)
}

// CloseExpired closes the connections that have been idle for longer than
// IdleTimeout.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var dropped []*Conn
	for address, conns := range p.byAddress {
		kept := conns.idle[:0]
		for _, conn := range conns.idle {
			if p.expired(conn, now) {
				dropped = append(dropped, conn)
				conns.open--
				continue
			}
			kept = append(kept, conn)
		}
		conns.idle = kept
		if conns.open == 0 {
			delete(p.byAddress, address)
		}
	}
	p.mu.Unlock()
	closeAll(dropped)
}

// Close closes all idle connections. Connections in use stay open.
func (p *Pool) Close() {
	p.mu.Lock()
	var dropped []*Conn
	for _, conns := range p.byAddress {
		dropped = append(dropped, conns.idle...)
		conns.open -= len(conns.idle)
		conns.idle = nil
	}
	p.mu.Unlock()
	closeAll(dropped)
}

// Release returns the connection to the pool for other calls. A closed connection
// is discarded instead.
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
	if conns := c.pool.byAddress[c.address]; conns != nil {
		conns.idle = append(conns.idle, c)
	}
}

// UsedWithin reports whether the connection's last call ended at most limit
// before now. It is false for a new connection.
func (c *Conn) UsedWithin(now time.Time, limit time.Duration) bool {
	return now.Sub(c.lastUsed) <= limit
}

// Discard closes the connection, which then no longer counts against the limit.
func (c *Conn) Discard() {
	_ = c.Conn.Close()
	c.pool.release(c.address)
}

func (p *Pool) takeIdle(address string, now time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.byAddress[address]
	if conns == nil {
		return nil
	}
	for len(conns.idle) > 0 {
		last := len(conns.idle) - 1
		conn := conns.idle[last]
		conns.idle = conns.idle[:last]
		if !p.expired(conn, now) && !closed(conn) {
			return conn
		}
		conns.open--
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
	conns := p.byAddress[address]
	if conns == nil {
		conns = &addressConns{}
		p.byAddress[address] = conns
	}
	if conns.open >= p.options.MaxPerAddress || !p.roomForOne() {
		return false
	}
	conns.open++
	return true
}

// roomForOne reports whether one more connection may be open, if need be in the place of an idle
// one. The caller holds mu.
func (p *Pool) roomForOne() bool {
	if p.options.MaxOpen == 0 {
		return true
	}
	open := 0
	var idle *addressConns
	for _, conns := range p.byAddress {
		open += conns.open
		if len(conns.idle) > 0 {
			idle = conns
		}
	}
	if open < p.options.MaxOpen {
		return true
	}
	if idle == nil {
		return false
	}
	oldest := idle.idle[0]
	idle.idle = idle.idle[1:]
	idle.open--
	go oldest.Conn.Close()
	return true
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.byAddress[address]; conns != nil {
		conns.open--
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
