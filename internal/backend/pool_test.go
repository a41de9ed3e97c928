package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

var testHeaderNames = HeaderNames{ID: "Id", Load: "Load", NotRun: "Not-Run", Seal: "Seal"}

// startRawServer accepts one connection, reads a request and calls write.
func startRawServer(t *testing.T, write func(c net.Conn)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4096))
		write(c)
	}()
	return l.Addr().String()
}

// Guards against invalid answers that exhaust the node's memory, are taken for a
// success or belong to another request.
func TestPoolRejectsInvalidAnswers(t *testing.T) {
	endless := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			for _, err := io.WriteString(c, text); err == nil; _, err = c.Write(bytes.Repeat([]byte("x"), 64<<10)) {
				continue
			}
		}
	}
	once := func(text string) func(net.Conn) {
		return func(c net.Conn) { _, _ = io.WriteString(c, text) }
	}
	silent := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			_, _ = io.WriteString(c, text)
			_, _ = io.Copy(io.Discard, c)
		}
	}
	for name, c := range map[string]struct {
		write func(net.Conn)
		kind  fault.Kind
	}{
		"endless body of another request": {endless("HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\n\r\n"), fault.KindCutShort},
		"long body of another request":    {endless("HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\nContent-Length: 1000000000000\r\n\r\n"), fault.KindCutShort},
		"body without a seal never comes": {silent("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n"), fault.KindCutShort},
		"endless interim answers":         {repeated("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"), fault.KindCutShort},
		"endless empty chunks":            {repeatedAfter("HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"), fault.KindCutShort},
		"endless chunk extension":         {endless("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;"), fault.KindCutShort},
		"endless trailer":                 {endless("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: "), fault.KindCutShort},
		"endless status line":             {endless("HTTP/1.1 200 "), fault.KindCutShort},
		"endless header":                  {endless("HTTP/1.1 200 OK\r\nId: 1\r\nX: "), fault.KindCutShort},
		"not HTTP":                        {once("\x00\x01\x02 nothing\r\n\r\n"), fault.KindCutShort},
		"no seal":                         {once("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"), fault.KindCutShort},
		"of another request":              {once("HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"), fault.KindServerLost},
		"body cut short":                  {once("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nshort"), fault.KindServerLost},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Pool{HeaderNames: testHeaderNames}
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := p.Do(ctx, startRawServer(t, c.write), call.Request{ID: "1", Method: http.MethodGet, URI: "/", Deadline: time.Now().Add(time.Minute)})
			assert.Assert(t, fault.Is(err, c.kind), "%v", err)
			assert.Assert(t, fault.As(err).Outcome != fault.Refused, "%v", err)
		})
	}
}

// repeated sends a text until the caller closes the connection, repeatedAfter does so
// after another text.
func repeated(text string) func(net.Conn) { return repeatedAfter("", text) }

func repeatedAfter(first, text string) func(net.Conn) {
	return func(c net.Conn) {
		for _, err := io.WriteString(c, first); err == nil; _, err = io.WriteString(c, text) {
			continue
		}
	}
}

// Guards against probes that read bytes without end, which would hold the connection
// and the processor until the probe's time-out.
func TestProbeIsBounded(t *testing.T) {
	for name, text := range map[string][2]string{
		"header": {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"fields": {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"body":   {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1024)},
		"chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var p Pool
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			_, _, healthy, err := p.Probe(ctx, startRawServer(t, repeatedAfter(text[0], text[1])), "/health")
			assert.Assert(t, err != nil && ctx.Err() == nil, "%v", err)
			assert.Assert(t, !healthy || err != nil)
		})
	}
}

// Guards against implausible loads, which determine the size of the node's tables,
// and against a slowdown where the server reports none.
func TestLoadHeader(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		want   ServerLoad
		ok     bool
	}{
		"complete":       {"3,1,12,250", ServerLoad{3, 1, 12, 2.5}, true},
		"spaces":         {"3, 1, 12, 100", ServerLoad{3, 1, 12, 1}, true},
		"no slowdown":    {"3,1,12", ServerLoad{3, 1, 12, 0}, true},
		"extra value":    {"3,1,12,100,7", ServerLoad{3, 1, 12, 1}, true},
		"too few values": {"3,1", ServerLoad{}, false},
		"negative":       {"3,-1,12", ServerLoad{}, false},
		"not a number":   {"3,x,12", ServerLoad{}, false},
		"too many slots": {"3,1,1000000000", ServerLoad{}, false},
		"too slow":       {"3,1,12,1000000000", ServerLoad{}, false},
		"missing":        {"", ServerLoad{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := testHeaderNames.parseLoad(http.Header{"Load": {c.header}})
			assert.Equal(t, got, c.want)
			assert.Equal(t, ok, c.ok)
		})
	}
}

// FuzzAnswer checks that no bytes from a server make the node panic, and that only
// an answer with the request's ID is accepted.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 503 No\r\nId: 1\r\nNot-Run: 1\r\nLoad: 1,2,3,4\r\nKeep-Alive: timeout=5\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = io.Copy(io.Discard, far)
		}()
		go func() {
			_, _ = far.Write(answer)
			_ = far.Close()
		}()
		p := &Pool{HeaderNames: testHeaderNames}
		defer p.Close()
		r := call.Request{ID: "1", Method: http.MethodGet, URI: "/"}
		c := newServerConn(near, 0)
		defer c.Close()
		response, err := p.read(c, r, sentRequest())
		if err != nil {
			return
		}
		defer response.Body.Close()
		assert.Equal(t, response.Header.Get("Id"), "1")
		_, _ = testHeaderNames.parseLoad(response.Header)
		p.keepAlive(c, response)
	})
}

// Guards against a caller's header without a value that does not reach the server.
func TestEmptyHeadersArePassedOn(t *testing.T) {
	got := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
	}))
	defer server.Close()
	p := &Pool{HeaderNames: testHeaderNames}
	defer p.Close()
	r := call.Request{ID: "1", Method: http.MethodGet, URI: "/", Host: "a", Header: http.Header{"X-Empty": {""}, "X-List": {"a", "", "b"}}, Deadline: time.Now().Add(time.Minute)}
	_, err := p.Do(t.Context(), server.Listener.Addr().String(), r)
	assert.NilError(t, err)
	h := <-got
	assert.DeepEqual(t, h["X-Empty"], []string{""})
	assert.DeepEqual(t, h["X-List"], []string{"a", "", "b"})
}
