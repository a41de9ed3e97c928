package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a call. Only ErrNotSent and ErrHeadTooLarge prove that the peer did not
// receive the whole request.
var (
	// ErrNotSent means that the request was not sent completely.
	ErrNotSent = errors.New("the peer cannot be reached")
	// ErrHeadTooLarge means that the head of the request does not fit into a frame.
	ErrHeadTooLarge = errors.New("the head is over the limit between nodes")
	// ErrConnectionLost means that the connection ended before the answer.
	ErrConnectionLost = errors.New("the connection to the peer was lost")
	// ErrNoAck means that the peer did not acknowledge the request in time.
	ErrNoAck = errors.New("the peer does not react")
	// ErrTruncated means that the peer could not complete the answer.
	ErrTruncated = errors.New("the answer was cut short")
)

const (
	// dialTimeout is short: a host that is up answers within a round trip, and a lost
	// SYN packet would be retransmitted only after a second.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 60 * time.Second
)

// Client sends requests to peers over one connection for each. The zero value is
// ready to use; set the exported fields before the first call.
type Client struct {
	// Hello identifies this client to peers; it is sent first on each connection.
	Hello []byte
	// AckTimeout is how long a peer may take to acknowledge a request with AwaitAck,
	// or a ping before a request with CheckLiveness; zero means 250 ms.
	AckTimeout time.Duration
	// LateAck is called when a peer acknowledges a request after AckTimeout, with the
	// time since the request was sent; it may be nil.
	LateAck func(addr string, after time.Duration)

	mu    sync.Mutex
	links map[string]*link
}

// Answer is the answer of a peer. Body returns io.EOF only after the whole body.
type Answer struct {
	Head []byte
	Body io.ReadCloser
	// link is the connection of the answer.
	link *link
}

// Request is a request to a peer.
type Request struct {
	Head, Body []byte
	// AwaitAck makes Call return ErrNoAck if the peer does not acknowledge the request
	// within AckTimeout.
	AwaitAck bool
	// KeepOpen makes Call return a *Pending as ErrNoAck, so that an answer that comes
	// later is not lost. Without it, the request is canceled.
	KeepOpen bool
	// CheckLiveness sends the request only on a connection on which a frame arrived
	// recently, if necessary the reply to a ping. It is for requests that cannot be
	// retried elsewhere once they are sent.
	CheckLiveness bool
	// After is an answer whose Body is still open. The request is sent on its connection;
	// nil means on any connection.
	After *Answer
}

// Call sends the request once and returns its answer. The caller must close its Body.
func (c *Client) Call(ctx context.Context, addr string, r Request) (*Answer, error) {
	if len(r.Head) > maxFrameSize {
		return nil, eris.Wrapf(ErrHeadTooLarge, "%d bytes", len(r.Head))
	}
	l, err := c.linkFor(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	if r.CheckLiveness {
		if err := l.confirmAlive(ctx, c.ackTimeout()); err != nil {
			c.retire(addr, l)
			return nil, err
		}
	}
	s, err := l.open(r)
	if err != nil {
		return nil, err
	}
	ackTimeout := time.Duration(0)
	if r.AwaitAck {
		ackTimeout = c.ackTimeout()
	}
	err = s.awaitHead(ctx, ackTimeout)
	if errors.Is(err, ErrNoAck) {
		l.expectLateAck(s)
		defer c.retire(addr, l)
		if r.KeepOpen {
			return nil, &Pending{stream: s}
		}
	}
	return s.finish(ctx, err)
}

const defaultAckTimeout = 250 * time.Millisecond

func (c *Client) ackTimeout() time.Duration {
	if c.AckTimeout > 0 {
		return c.AckTimeout
	}
	return defaultAckTimeout
}

// linkFor returns the connection for a request.
func (c *Client) linkFor(ctx context.Context, addr string, r Request) (*link, error) {
	if r.After != nil {
		return r.After.link, nil
	}
	return c.link(ctx, addr)
}

// link returns the connection to a peer and dials it if there is none.
func (c *Client) link(ctx context.Context, addr string) (*link, error) {
	c.mu.Lock()
	if c.links == nil {
		c.links = make(map[string]*link)
	}
	l := c.links[addr]
	if l == nil || l.closed() {
		l = newLink()
		l.lateAck = func(after time.Duration) { c.acknowledgedLate(addr, after) }
		c.links[addr] = l
		go c.dial(addr, l)
	}
	c.mu.Unlock()
	select {
	case <-l.ready:
		if l.dialErr != nil {
			return nil, eris.Wrap(ErrNotSent, l.dialErr.Error())
		}
		return l, nil
	case <-ctx.Done():
		return nil, eris.Wrap(ErrNotSent, ctx.Err().Error())
	}
}

// dial doesn't use the context of the request that caused it, since other requests
// may wait for the same connection.
func (c *Client) dial(addr string, l *link) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err == nil {
		err = l.start(conn, c.Hello)
	}
	if err != nil {
		l.dialErr = err
		l.end(ErrNotSent)
		c.removeLink(addr, l)
	}
	close(l.ready)
	if err == nil {
		l.readFrames()
		c.removeLink(addr, l)
	}
}

func (c *Client) removeLink(addr string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[addr] == l {
		delete(c.links, addr)
	}
}

// retire stops sending requests on a connection that may be dead. The next request
// dials a new one.
func (c *Client) retire(addr string, l *link) {
	c.removeLink(addr, l)
	l.retire()
}

func (c *Client) acknowledgedLate(addr string, after time.Duration) {
	if c.LateAck != nil {
		c.LateAck(addr, after)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.end(ErrConnectionLost)
	}
}

// Links returns the number of open connections.
func (c *Client) Links() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links)
}

// answerBody detaches the stream from the request's context when it is closed.
type answerBody struct {
	*stream
	stop func() bool
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.stop()
	return b.stream.Close()
}
