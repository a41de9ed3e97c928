package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/standin/endless"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	// endlessSent is what fits into the limits of an answer and the socket buffers.
	endlessSent = 1 << 20
	// testPartTimeout is shorter than the pauses of the slow servers of these tests are
	// together.
	testPartTimeout = 50 * time.Millisecond
	dripInterval    = 5 * time.Millisecond
)

// startEndless starts a server that is stopped at the end of the test.
func startEndless(t *testing.T, s *endless.Server) (addr string) {
	t.Helper()
	addr, err := s.Start()
	assert.NilError(t, err)
	t.Cleanup(s.Stop)
	return addr
}

// endlessDoors are the ways to read an answer to its end.
var endlessDoors = map[string]func(ctx context.Context, addr string) error{
	"client": func(ctx context.Context, addr string) error {
		c := Client{partTimeout: testPartTimeout}
		defer c.CloseIdle()
		answer, err := c.Do(ctx, addr, request(http.MethodPost))
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		return err
	},
	"pool": func(ctx context.Context, addr string) error {
		p := Pool{HeaderNames: testHeaderNames, partTimeout: testPartTimeout}
		defer p.Close()
		_, err := p.Do(ctx, addr, request(http.MethodPost))
		return err
	},
	"probe": func(ctx context.Context, addr string) error {
		p := Pool{HeaderNames: testHeaderNames, partTimeout: testPartTimeout}
		defer p.Close()
		_, _, healthy, err := p.Probe(ctx, addr, "/health")
		if err == nil && !healthy {
			return io.ErrUnexpectedEOF
		}
		return err
	},
}

// Guards against a server that sends bytes without end which are no answer: the node
// would read megabytes, hold the caller up to its deadline, keep the connection or state
// that the request had not run.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const (
		sealed  = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
		skipped = "HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\n"
		early   = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	for name, c := range map[string]struct {
		first, text string
		// doors are the doors at which the bytes are no answer.
		doors string
	}{
		"status line":           {"HTTP/1.1 200 ", "x", "client pool probe"},
		"header line":           {sealed + "X: ", "x", "client pool probe"},
		"header lines":          {sealed, "X: x\r\n", "client pool probe"},
		"interim answers":       {"", early, "client pool probe"},
		"interim header line":   {"HTTP/1.1 103 Early Hints\r\nLink: ", "x", "client pool probe"},
		"line behind interim":   {early + sealed + "X: ", "x", "client pool probe"},
		"chunk extension":       {sealed + chunked + "1;", "x", "client pool probe"},
		"digits of a size":      {sealed + chunked, "0", "client pool probe"},
		"trailer line":          {sealed + chunked + "0\r\nX: ", "x", "client pool probe"},
		"trailer lines":         {sealed + chunked + "0\r\n", "X: x\r\n", "client pool probe"},
		"trailer behind a body": {sealed + chunked + "1\r\nx\r\n0\r\n", "X: x\r\n", "client pool probe"},
		"body of a probe":       {sealed + "\r\n", "x", "probe"},
		"unsealed body":         {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x", "pool"},
		"skipped header line":   {skipped + "X: ", "x", "pool"},
		"skipped body":          {skipped + "\r\n", "x", "pool"},
		"skipped long body":     {skipped + "Content-Length: 1000000000\r\n\r\n", "x", "pool"},
		"skipped chunks":        {skipped + chunked, "1\r\nx\r\n", "pool"},
		"skipped extension":     {skipped + chunked + "1;", "x", "pool"},
		"line behind skipped":   {skipped + "Content-Length: 0\r\n\r\n" + sealed + "X: ", "x", "pool"},
	} {
		for door := range strings.FieldsSeq(c.doors) {
			for speed, drip := range map[string]time.Duration{"fast": 0, "drip": dripInterval} {
				t.Run(name+"/"+door+"/"+speed, func(t *testing.T) {
					t.Parallel()
					server := &endless.Server{First: c.first, Text: c.text, Drip: drip}
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					err := endlessDoors[door](ctx, startEndless(t, server))
					assert.NilError(t, ctx.Err())
					assert.Assert(t, err != nil)
					if door != "probe" {
						assert.Assert(t, fault.Is(err, fault.KindCutShort) || fault.Is(err, fault.KindServerLost), "%v", err)
						assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
					}
					<-server.Closed()
					assert.Assert(t, server.Sent() < endlessSent, "%d bytes were sent", server.Sent())
				})
			}
		}
	}
}

// Guards against a time limit that ends answers of servers that work for long, send
// interim answers meanwhile or send a body slowly.
func TestSlowAnswersAreDelivered(t *testing.T) {
	const (
		early  = "HTTP/1.1 103 Early Hints\r\n\r\n"
		head   = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
		length = head + "Content-Length: 8\r\n\r\n"
	)
	body := strings.Split("abcdefgh", "")
	for name, c := range map[string]struct {
		parts []string
		doors string
	}{
		"before the head":       {[]string{"", length + "abcdefgh"}, "client pool probe"},
		"after interim answers": {[]string{early, early, length + "abcdefgh"}, "client pool"},
		"between bytes":         {append([]string{length}, body...), "client pool"},
		"between chunks":        {[]string{head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", "7\r\nbcdefgh\r\n", "0\r\n\r\n"}, "client pool"},
		"until the close":       {append([]string{head + "\r\n"}, body...), "client pool"},
	} {
		for door := range strings.FieldsSeq(c.doors) {
			t.Run(name+"/"+door, func(t *testing.T) {
				t.Parallel()
				parts := c.parts
				addr := startRawServer(t, func(c net.Conn) {
					for _, part := range parts {
						_, _ = io.WriteString(c, part)
						time.Sleep(2 * testPartTimeout)
					}
				})
				assert.NilError(t, endlessDoors[door](t.Context(), addr))
			})
		}
	}
}

// Guards against bytes behind a whole answer that stay unread on a connection in use, or
// belong to the next answer.
func TestExcessBytesEndTheConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 1\r\n\r\na"
	for speed, drip := range map[string]time.Duration{"fast": 0, "drip": dripInterval} {
		t.Run("client/"+speed, func(t *testing.T) {
			server := &endless.Server{First: answer, Text: "x", Drip: drip}
			var c Client
			got, err := c.Do(t.Context(), startEndless(t, server), request(http.MethodPost))
			assert.NilError(t, err)
			body, err := io.ReadAll(got.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "a")
			<-server.Closed()
			assert.Assert(t, server.Sent() < endlessSent)
		})
		t.Run("pool/"+speed, func(t *testing.T) {
			server := &endless.Server{First: answer, Text: "x", Drip: drip}
			p := Pool{HeaderNames: testHeaderNames}
			defer p.Close()
			addr := startEndless(t, server)
			got, err := p.Do(t.Context(), addr, request(http.MethodPost))
			assert.NilError(t, err)
			assert.Equal(t, string(got.Buffered), "a")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				select {
				case <-server.Closed():
					return poll.Success()
				default:
				}
				next, err := p.requests.get(t.Context(), addr, true, 0)
				assert.NilError(t, err)
				p.requests.put(next)
				return poll.Continue("the connection is open")
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
			assert.Assert(t, server.Sent() < endlessSent)
		})
	}
}

// FuzzEndlessAnswer checks that the number of bytes that are read of an answer without
// end is bounded at both doors, whatever the bytes are.
func FuzzEndlessAnswer(f *testing.F) {
	const sealed = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
	f.Add([]byte(sealed), []byte("X: x\r\n"))
	f.Add([]byte(""), []byte("HTTP/1.1 103 Early Hints\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n"), []byte("1;x=y\r\nx\r\n"))
	f.Add([]byte(sealed+"Transfer-Encoding: chunked\r\n\r\n0\r\n"), []byte("X: x\r\n"))
	f.Add([]byte(sealed+"Content-Length: 1\r\n\r\n"), []byte("xHTTP/1.1 200 OK\r\n"))
	f.Fuzz(func(t *testing.T, first, text []byte) {
		if len(text) == 0 || len(first) > 4096 || len(text) > 4096 {
			return
		}
		stream := &endlessConn{first: first, text: text}
		p := Pool{HeaderNames: testHeaderNames}
		c := newServerConn(stream, 0)
		if response, err := p.read(c, request(http.MethodGet), sentRequest()); err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, bufferedAnswer))
		}
		assert.Assert(t, stream.read.Load() < endlessSent, "the pool read %d bytes", stream.read.Load())

		stream = &endlessConn{first: first, text: text}
		var client Client
		client.roundTripper().DialContext = func(context.Context, string, string) (net.Conn, error) {
			return newClientConn(stream, 0), nil
		}
		defer client.CloseIdle()
		if answer, err := client.Do(t.Context(), "127.0.0.1:1", request(http.MethodGet)); err == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, bufferedAnswer))
			_ = answer.Body.Close()
		}
		assert.Assert(t, stream.read.Load() < endlessSent, "the client read %d bytes", stream.read.Load())
	})
}

// endlessConn is a connection on which first arrives, and then text again and again.
type endlessConn struct {
	net.Conn
	first, text []byte
	read        atomic.Int64
	closed      atomic.Bool
}

// Read implements io.Reader.
func (c *endlessConn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n := 0
	for ; n < len(p); n++ {
		at := int(c.read.Load()) + n
		if at < len(c.first) {
			p[n] = c.first[at]
		} else {
			p[n] = c.text[(at-len(c.first))%len(c.text)]
		}
	}
	c.read.Add(int64(n))
	return n, nil
}

// Write implements io.Writer.
func (c *endlessConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements io.Closer.
func (c *endlessConn) Close() error {
	c.closed.Store(true)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *endlessConn) SetReadDeadline(time.Time) error { return nil }
