package capacity

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/caller"
)

var connections = []int{0, 65, 130, 260, 520}

// fixedAnswer is a server that answers every request with two bytes.
type fixedAnswer struct{}

// Serve implements call.Server.
func (fixedAnswer) Serve(context.Context, call.Request) (*call.Answer, error) {
	return &call.Answer{Status: 200, Length: 2, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// noRules is a configuration without rules.
type noRules struct{}

// Idempotent implements caller.Rules.
func (noRules) Idempotent(string, string, string) (idempotent, known bool) { return false, false }

// Timeout implements caller.Rules.
func (noRules) Timeout(string) (usual, longest time.Duration) { return time.Second, time.Second }

// BenchmarkCallerConnections measures the memory of idle caller connections that have
// received one answer. The memory of the client ends in the same process is measured
// separately and subtracted.
func BenchmarkCallerConnections(b *testing.B) {
	report(b, "B/connection", connections, func(b *testing.B, n int) float64 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		defer listener.Close()
		clients := connectionMemory(b, listener.Addr().String(), n, func([]net.Conn) {})
		s := &caller.Server{Calls: fixedAnswer{}, Rules: noRules{}}
		assert.NilError(b, s.Listen("127.0.0.1:0"))
		defer s.Close()
		clientsAndServer := connectionMemory(b, s.Addr(), n, func(conns []net.Conn) {
			for _, c := range conns {
				exchange(b, c)
			}
		})
		open, _ := s.Conns()
		assert.Assert(b, open <= n+1, "%d connections are open", open)
		return clientsAndServer - clients
	})
}

// connectionMemory returns the memory of n connections after use was called with
// them, and closes them.
func connectionMemory(b *testing.B, addr string, n int, use func([]net.Conn)) float64 {
	conns := make([]net.Conn, n)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	// The first connection of a process allocates memory that all share.
	first, err := net.Dial("tcp", addr)
	assert.NilError(b, err)
	use([]net.Conn{first})
	defer first.Close()
	return memoryGrowth(func() any {
		for i := range conns {
			c, err := net.Dial("tcp", addr)
			assert.NilError(b, err)
			conns[i] = c
		}
		use(conns)
		return conns
	})
}

func exchange(b *testing.B, c net.Conn) {
	_, err := io.WriteString(c, "GET /stock/item HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(b, err)
	var buf [1024]byte
	for got := ""; !strings.HasSuffix(got, "ok"); {
		n, err := c.Read(buf[:])
		assert.NilError(b, err)
		got += string(buf[:n])
	}
}

// get sends one request with net/http and reads the whole answer.
func get(b *testing.B, addr string) {
	response, err := http.Get("http://" + addr + "/stock/item")
	assert.NilError(b, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(b, err)
}
