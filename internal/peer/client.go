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

// Errors of a call. Only ErrNotSent proves that the peer has no whole request.
var (
	// ErrNotSent means that the request has not left this node whole.
	ErrNotSent = errors.New("the peer cannot be reached")
	// ErrConnectionLost means that the connection ended before the answer.
	ErrConnectionLost = errors.New("the connection to the peer was lost")
	// ErrNoAck means that the peer did not even acknowledge the request.
	ErrNoAck = errors.New("the peer does not react")
	// ErrTruncated means that the peer could not finish the answer.
	ErrTruncated = errors.New("the answer was cut short")
)

const (
	// dialTimeout is short: hosts that are up answer within a round trip, and one
	// lost packet is sent again after a second.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 60 * time.Second
)

// Client keeps one connection to each peer that requests go to. The zero value
// is ready to use; Hello may be set before the first call.
type Client struct {
	// Hello tells the peer who calls.
	Hello []byte
	// AckTimeout is how long a peer may take to acknowledge a request before Call
	// gives up on it where the request allows that; zero means 250 ms.
	AckTimeout time.Duration

	mu    sync.Mutex
	links map[string]*link
}

// Answer is the answer of a peer. Body ends with io.EOF only when it is whole.
type Answer struct {
	Head []byte
	Body io.ReadCloser
}

// Request is what a peer gets.
type Request struct {
	Head, Body []byte
	// AwaitAck gives up with ErrSilent when the peer does not acknowledge in time.
	AwaitAck bool
	// CheckLiveness sends the request only on a connection that has shown a sign of life a
	// moment ago, and asks for one if need be. It is for requests that cannot be
	// sent elsewhere once they have left.
	CheckLiveness bool
}

// Call sends the request once.
func (c *Client) Call(ctx context.Context, addr string, r Request) (*Answer, error) {
	l, err := c.link(ctx, addr)
	if err != nil {
		return nil, err
	}
	if r.CheckLiveness {
		if err := l.confirm(ctx, c.patience()); err != nil {
			c.retire(addr, l)
			return nil, err
		}
	}
	s, err := l.open(r)
	if err != nil {
		return nil, err
	}
	if err := c.await(ctx, s, r.AwaitAck); err != nil {
		l.drop(s, true)
		if errors.Is(err, ErrNoAck) {
			c.retire(addr, l)
		}
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		s.fail(ctx.Err())
		l.drop(s, true)
	})
	return &Answer{Head: s.answer, Body: &answerBody{stream: s, stop: stop}}, nil
}

func (c *Client) await(ctx context.Context, s *stream, impatient bool) error {
	if impatient {
		timer := time.NewTimer(c.patience())
		defer timer.Stop()
		select {
		case <-s.accepted:
		case <-s.head:
		case <-timer.C:
			return ErrNoAck
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-s.head:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.answer == nil {
			return s.err
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

const defaultPatience = 250 * time.Millisecond

func (c *Client) patience() time.Duration {
	if c.AckTimeout > 0 {
		return c.AckTimeout
	}
	return defaultPatience
}

// link returns the connection to a peer, and dials if there is none.
func (c *Client) link(ctx context.Context, addr string) (*link, error) {
	c.mu.Lock()
	if c.links == nil {
		c.links = make(map[string]*link)
	}
	l := c.links[addr]
	if l == nil || l.closed() {
		l = newLink()
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

// dial connects apart from the context of the first request, since others may
// wait for the same connection.
func (c *Client) dial(addr string, l *link) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err == nil {
		err = l.begin(conn, c.Hello)
	}
	if err != nil {
		l.dialErr = err
		l.end(ErrNotSent)
		c.forget(addr, l)
	}
	close(l.ready)
	if err == nil {
		l.read()
		c.forget(addr, l)
	}
}

func (c *Client) forget(addr string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[addr] == l {
		delete(c.links, addr)
	}
}

// retire takes no more requests on a connection that may have gone silent; the
// next one gets a new connection.
func (c *Client) retire(addr string, l *link) {
	c.forget(addr, l)
	l.retire()
}

// Close ends all connections.
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

// answerBody releases the request's context when the answer was read.
type answerBody struct {
	*stream
	stop func() bool
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.stop()
	return b.stream.Close()
}
