package mesh

import (
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a name in the answer to a health check that no header can carry: it would
// be sent to the server with each request.
func TestProbeReturnsNoUnusableName(t *testing.T) {
	for name, c := range map[string]struct{ instance, want string }{
		"usable":    {"i-7f3a91c2", "i-7f3a91c2"},
		"missing":   {"", ""},
		"carriage":  {"i-1\rEvil: 1", ""},
		"zero byte": {"i-1\x00", ""},
		"too long":  {strings.Repeat("i", 201), ""},
		"two words": {"i-1 i-2", ""},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nInstance: "+c.instance+"\r\n\r\n")
			}()
			p := newServerProxy(4)
			p.pool.HeaderNames.Instance = "Instance"
			p.Server = l.Addr().String()
			id, _ := p.probe("/health")
			assert.Equal(t, id, c.want)
		})
	}
}
