package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/standin/relay"
)

// Guards against connections and requests that are kept forever after a caller has
// become unresponsive.
func TestSilentCallers(t *testing.T) {
	const endless = 1 << 40
	cases := map[string]struct {
		silence func(*relay.Relay, net.Conn)
		size    int
	}{
		"idle":               {silence: func(path *relay.Relay, _ net.Conn) { path.SetMode(relay.Silent) }, size: 10},
		"stops reading":      {silence: func(*relay.Relay, net.Conn) {}, size: endless},
		"half of a request":  {silence: sendPartialRequest, size: 10},
		"half of a head":     {silence: sendPartialHead, size: 10},
		"silent and pending": {silence: silentRequest, size: 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var open, running atomic.Int32
			var read atomic.Int64
			limits := Limits{IdleTimeout: 500 * time.Millisecond, HeadTimeout: 500 * time.Millisecond, BodySpan: 500 * time.Millisecond}
			s := &Server{Limits: limits, StallTimeout: 500 * time.Millisecond}
			s.Handler = func(context.Context, *http.Request, []byte) *http.Response {
				open.Add(1)
				running.Add(1)
				body := &closingBody{countingBody: &countingBody{left: tc.size, read: &read}, closed: sync.OnceFunc(func() { running.Add(-1) })}
				return &http.Response{StatusCode: 200, Header: http.Header{}, Body: body, ContentLength: int64(tc.size)}
			}
			assert.NilError(t, s.Listen("127.0.0.1:0"))
			t.Cleanup(s.Close)
			path := &relay.Relay{Target: s.Addr()}
			assert.NilError(t, path.StartTCP("127.0.0.1:0"))
			t.Cleanup(path.Close)
			c, err := net.Dial("tcp", path.TCPAddr())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			awaitCount(t, "requests", &open, 1)
			tc.silence(path, c)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				s.Tick()
				if conns, _ := s.Conns(); conns > 0 || running.Load() > 0 {
					return poll.Continue("%d connections, %d requests", conns, running.Load())
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
		})
	}
}

// Guards against the idle time-out of a connection ending a request in flight.
func TestRequestOutlastsKeepAlive(t *testing.T) {
	release := make(chan struct{})
	s := &Server{Limits: Limits{IdleTimeout: 300 * time.Millisecond}}
	s.Handler = func(context.Context, *http.Request, []byte) *http.Response {
		<-release
		return Text(http.StatusOK, "late")
	}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	c := get(t, s)
	// The test is about the time-out, so it has to wait for longer than that.
	time.AfterFunc(3*s.Limits.IdleTimeout, func() { close(release) })
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, response.Body.Close())
}

func sendPartialRequest(_ *relay.Relay, c net.Conn) {
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")
}

func sendPartialHead(_ *relay.Relay, c net.Conn) {
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-")
}

// silentRequest makes the path drop all data and sends a request on it.
func silentRequest(path *relay.Relay, c net.Conn) {
	path.SetMode(relay.Silent)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
}

func awaitCount(t *testing.T, what string, count *atomic.Int32, want int32) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if count.Load() < want {
			return poll.Continue("%d %s", count.Load(), what)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

type closingBody struct {
	*countingBody
	closed func()
}

func (b *closingBody) Close() error {
	b.closed()
	return nil
}

// Guards against an error response that is lost because the connection is reset
// while the caller still sends the body.
func TestRefusalReachesSendingCaller(t *testing.T) {
	s := serve(t, echo)
	c := dial(t, s)
	const size = 4 << 20
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	assert.NilError(t, err)
	_, err = c.Write(make([]byte, size))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
}

// Guards against requests that are not answered because their caller is silent for a moment
// while it sends them, at any byte.
func TestSilenceEndsNoRequest(t *testing.T) {
	const silence = 1500 * time.Millisecond
	for name, request := range map[string]string{
		"length": "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
		"chunks": "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nX: y\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, echo)
			var sending sync.WaitGroup
			for at := range len(request) {
				c := dial(t, s)
				sending.Go(func() {
					_, _ = io.WriteString(c, request[:at])
					time.Sleep(silence)
					_, _ = io.WriteString(c, request[at:])
					response, err := http.ReadResponse(bufio.NewReader(c), nil)
					if !assert.Check(t, err, "silent behind %q", request[:at]) {
						return
					}
					defer response.Body.Close()
					body, err := io.ReadAll(response.Body)
					assert.Check(t, err == nil && response.StatusCode == http.StatusOK && strings.Contains(string(body), "hello"), "silent behind %q: %d %q", request[:at], response.StatusCode, body)
				})
			}
			sending.Wait()
		})
	}
}

// Guards against uploads that are cut off because their connection was idle for most of the
// idle time-out before them.
func TestUploadOutlastsIdleTime(t *testing.T) {
	const idle = time.Second
	for name, head := range map[string]string{
		"length": "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhe",
		"chunks": "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe",
		"head":   "POST /a HTTP/1.1\r\nHost: a\r\nContent-",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t, echo)
			s.SetLimits(Limits{IdleTimeout: idle})
			c := dial(t, s)
			reader := bufio.NewReader(c)
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.Equal(t, readStatus(t, reader), http.StatusOK)
			time.Sleep(idle * 4 / 5)
			_, _ = io.WriteString(c, head)
			time.Sleep(idle)
			rest := map[string]string{"length": "llo", "chunks": "llo\r\n0\r\n\r\n", "head": "Length: 5\r\n\r\nhello"}[name]
			_, _ = io.WriteString(c, rest)
			assert.Equal(t, readStatus(t, reader), http.StatusOK)
		})
	}
}
