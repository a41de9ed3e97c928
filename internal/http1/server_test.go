package http1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func serve(t *testing.T, h Handler) *Server {
	t.Helper()
	s := &Server{Handler: h, Limits: Limits{Body: 100_000}}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	return s
}

func echo(_ context.Context, _ *http.Request, body []byte) *http.Response {
	return Bytes(http.StatusOK, "text/plain", append([]byte(nil), body...))
}

// Guards against bad input that gets no response, blocks the server or makes it
// panic.
func TestBadInputGetsAnAnswer(t *testing.T) {
	s := serve(t, echo)
	cases := map[string]struct {
		request string
		status  int
	}{
		"valid":           {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi", status: 200},
		"chunked":         {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", status: 200},
		"large body":      {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99000\r\n\r\n" + strings.Repeat("x", 99_000), status: 200},
		"large chunk":     {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n182b8\r\n" + strings.Repeat("x", 99_000) + "\r\n0\r\n\r\n", status: 200},
		"not HTTP":        {request: "\x16\x03\x01 hello\r\n\r\n", status: 400},
		"bad method":      {request: "G@T / HTTP/1.1\r\nHost: a\r\n\r\n", status: 400},
		"bad length":      {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n", status: 400},
		"bad chunk":       {request: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", status: 400},
		"header too long": {request: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2*defaultHeader) + "\r\n\r\n", status: 431},
		"body too long":   {request: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000), status: 413},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			go func() { _, _ = io.WriteString(c, tc.request) }()
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, tc.status)
		})
	}
}

// Guards against responses that are buffered without a limit for a caller that does
// not read.
func TestSlowCallerBoundsMemory(t *testing.T) {
	const size = 64 << 20
	runtime.GC() // memory of earlier tests is not counted
	var read atomic.Int64
	s := serve(t, func(context.Context, *http.Request, []byte) *http.Response {
		body := &countingBody{left: size, read: &read}
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: body, ContentLength: size}
	})
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	awaitStable(t, &read)
	// The kernel's socket buffers on both ends add a few megabytes.
	assert.Assert(t, read.Load() < size/2, "%d bytes were read for a caller that reads nothing", read.Load())
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	assert.Assert(t, stats.HeapInuse < 32<<20, "heap of %d bytes", stats.HeapInuse)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
}

// awaitStable waits until the count has stopped growing.
func awaitStable(t *testing.T, count interface{ Load() int64 }) {
	t.Helper()
	last, same := int64(-1), 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		now := count.Load()
		if now != last || now == 0 {
			last, same = now, 0
			return poll.Continue("%d bytes", now)
		}
		if same++; same < 10 {
			return poll.Continue("%d bytes", now)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

type countingBody struct {
	left int
	read *atomic.Int64
}

func (b *countingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	b.left -= n
	b.read.Add(int64(n))
	return n, nil
}

func (b *countingBody) Close() error { return nil }

// Guards against a request that keeps running after its caller has closed the
// connection.
func TestClosedConnectionCancelsRequest(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	s := serve(t, func(ctx context.Context, _ *http.Request, _ []byte) *http.Response {
		close(started)
		<-ctx.Done()
		close(ended)
		return Text(http.StatusOK, "late")
	})
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	<-started
	assert.NilError(t, c.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.Tick()
		select {
		case <-ended:
			return poll.Success()
		default:
			return poll.Continue("the request still runs")
		}
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against a drain that cuts off the end of a response that a slow caller has
// not read yet.
func TestDrainFinishesAnswers(t *testing.T) {
	// The kernel's buffers and the server's queue together hold bytesBuffered. A
	// response that is a little smaller ends with bytes in the queue.
	size := bytesBuffered(t) - maxQueuedBytes/2
	release := make(chan struct{})
	s := serve(t, func(context.Context, *http.Request, []byte) *http.Response {
		<-release
		return Bytes(http.StatusOK, "text/plain", bytes.Repeat([]byte("x"), size))
	})
	c := get(t, s)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, busy := s.Conns(); busy == 0 {
			return poll.Continue("request not parsed")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	left := make(chan int, 1)
	go func() { left <- s.Drain(t.Context(), 0) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !s.isDraining() {
			return poll.Continue("not draining")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	close(release)
	awaitStable(t, &queuedBytes{s})
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Assert(t, response.Close, "the response lacks Connection: close")
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
	assert.Equal(t, <-left, 0)
}

// get sends a request and returns the connection without reading the response.
func get(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	return c
}

// bytesBuffered returns the number of bytes that a server writes for a caller that
// does not read.
func bytesBuffered(t *testing.T) int {
	t.Helper()
	var read atomic.Int64
	s := serve(t, func(context.Context, *http.Request, []byte) *http.Response {
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: &countingBody{left: 64 << 20, read: &read}, ContentLength: 64 << 20}
	})
	get(t, s)
	awaitStable(t, &read)
	return int(read.Load())
}

// queuedBytes returns the number of bytes queued in a server for slow callers, plus
// one, so that awaitStable also ends if the queue is empty.
type queuedBytes struct{ *Server }

func (q *queuedBytes) Load() (n int64) {
	for _, c := range q.snapshot() {
		n += c.queued.Load()
	}
	return n + 1
}

func ExampleServer() {
	s := &Server{Handler: func(_ context.Context, r *http.Request, _ []byte) *http.Response {
		return Text(http.StatusOK, "hello "+r.URL.Path)
	}}
	if err := s.Listen("127.0.0.1:0"); err != nil {
		fmt.Println(err)
		return
	}
	defer s.Close()
	response, err := http.Get("http://" + s.Addr() + "/you")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	fmt.Print(string(text))
	// Output: hello /you
}
