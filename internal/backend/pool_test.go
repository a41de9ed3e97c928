package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

var testNames = HeaderNames{ID: "Id", Load: "Load", NotRun: "Not-Run", Seal: "Seal"}

// raw accepts one connection, reads a request and writes what write does.
func raw(t *testing.T, write func(c net.Conn)) (addr string) {
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

// Guards against answers that are no answers, which take the node's memory, pass
// for a success or name another request.
func TestPoolRefusesWhatIsNoAnswer(t *testing.T) {
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
	for name, c := range map[string]struct {
		write func(net.Conn)
		kind  fault.Kind
	}{
		"endless status line":  {endless("HTTP/1.1 200 "), fault.KindCutShort},
		"endless header":       {endless("HTTP/1.1 200 OK\r\nId: 1\r\nX: "), fault.KindCutShort},
		"no HTTP":              {once("\x00\x01\x02 nothing\r\n\r\n"), fault.KindCutShort},
		"no seal":              {once("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"), fault.KindCutShort},
		"of another request":   {once("HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"), fault.KindServerLost},
		"shorter than it says": {once("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nshort"), fault.KindServerLost},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Pool{HeaderNames: testNames}
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := p.Do(ctx, raw(t, c.write), call.Request{ID: "1", Method: http.MethodGet, URI: "/", Deadline: time.Now().Add(time.Minute)})
			assert.Assert(t, fault.Is(err, c.kind), "%v", err)
			assert.Assert(t, fault.As(err).Outcome != fault.Refused, "%v", err)
		})
	}
}

// Guards against figures that no server has, which would size tables of the node,
// and against a pace that is made up.
func TestLoadHeader(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		want   ServerLoad
		ok     bool
	}{
		"whole":          {"3,1,12,250", ServerLoad{3, 1, 12, 2.5}, true},
		"spaces":         {"3, 1, 12, 100", ServerLoad{3, 1, 12, 1}, true},
		"pace not told":  {"3,1,12", ServerLoad{3, 1, 12, 0}, true},
		"more figures":   {"3,1,12,100,7", ServerLoad{3, 1, 12, 1}, true},
		"too few":        {"3,1", ServerLoad{}, false},
		"negative":       {"3,-1,12", ServerLoad{}, false},
		"no number":      {"3,x,12", ServerLoad{}, false},
		"too many slots": {"3,1,1000000000", ServerLoad{}, false},
		"too slow":       {"3,1,12,1000000000", ServerLoad{}, false},
		"missing":        {"", ServerLoad{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := testNames.loadOf(http.Header{"Load": {c.header}})
			assert.Equal(t, got, c.want)
			assert.Equal(t, ok, c.ok)
		})
	}
}

// FuzzAnswer checks that no bytes of a server break a node, and that only a sealed
// answer to the request itself passes for a success.
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
		p := &Pool{HeaderNames: testNames}
		defer p.Close()
		r := call.Request{ID: "1", Method: http.MethodGet, URI: "/"}
		c := newServerConn(near)
		defer c.Close()
		response, err := p.read(c, r)
		if err != nil {
			return
		}
		defer response.Body.Close()
		assert.Equal(t, response.Header.Get("Id"), "1")
		_, _ = testNames.loadOf(response.Header)
		p.keepAlive(c, response)
	})
}
