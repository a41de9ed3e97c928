package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// idleConns holds connections that may be used again, at most maxIdle. The zero value is
// ready to use.
type idleConns struct {
	mu sync.Mutex
	// conns are in the order of their last use.
	conns []*serverConn
	// closed is set by close; connections are no longer kept.
	closed bool
}

// get returns a reusable connection, or a new one.
func (i *idleConns) get(ctx context.Context, addr string, idempotent bool, partTimeout time.Duration) (*serverConn, error) {
	for {
		c := i.pop()
		if c == nil {
			return dial(ctx, addr, partTimeout)
		}
		now := time.Now()
		if now.After(c.expires) || !idempotent && now.Sub(c.idleSince) > nonIdempotentIdle || c.RemoteAddr().String() != addr || !c.clean() {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

func (i *idleConns) pop() *serverConn {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := len(i.conns)
	if n == 0 {
		return nil
	}
	c := i.conns[n-1]
	i.conns = i.conns[:n-1]
	return c
}

func dial(ctx context.Context, addr string, partTimeout time.Duration) (*serverConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil && ctx.Err() != nil {
		return nil, notSent()
	}
	if err != nil {
		return nil, fault.New(fault.KindNoServer, "backend server accepts no connection: %v", err)
	}
	return newServerConn(conn, partTimeout), nil
}

// put keeps a connection after an answer. The connection is closed if the answer was not
// read completely or if further bytes have arrived.
func (i *idleConns) put(c *serverConn) {
	if c.mustClose || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	i.mu.Lock()
	keep := !i.closed && len(i.conns) < maxIdle
	var old *serverConn
	if keep {
		if len(i.conns) > 0 && time.Now().After(i.conns[0].expires) {
			old, i.conns = i.conns[0], i.conns[1:]
		}
		i.conns = append(i.conns, c)
	}
	i.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
	if !keep {
		_ = c.Close()
	}
}

// close closes the connections.
func (i *idleConns) close() {
	i.mu.Lock()
	conns := i.conns
	i.conns, i.closed = nil, true
	i.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
