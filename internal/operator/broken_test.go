package operator

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/broken"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against replies that are none, or parts of some, and pass for the result of a
// command. Each is followed by the next node, which is asked instead.
func TestBrokenRepliesAreNoResult(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
		length = "Content-Length: 4\r\n\r\nbody"
	)
	for name, c := range map[string]struct {
		reply string
		end   broken.End
		ok    bool
	}{
		"whole":               {ok + length, broken.Keep, true},
		"in chunks":           {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", broken.Keep, true},
		"status 000":          {strings.Replace(ok, "200", "000", 1) + length, broken.Close, false},
		"status 101":          {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + length, broken.Close, false},
		"blank in a name":     {ok + "Bad Name: x\r\n" + length, broken.Close, false},
		"blank in the length": {ok + "Content-Length : 4\r\n\r\nbody and more", broken.Close, false},
		"blank before it":     {ok + " Content-Length: 4\r\n\r\nbody and more", broken.Close, false},
		"no length":           {ok + "\r\nbody", broken.Close, false},
		"reset":               {ok + "\r\nbody", broken.Reset, false},
		"cut":                 {ok + "Content-Length: 9\r\n\r\nbody", broken.Close, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := &broken.Server{Answer: c.reply, End: c.end}
			assert.NilError(t, first.Start("127.0.0.1:0", t.Cleanup))
			next := &broken.Server{Answer: ok + "Content-Length: 4\r\n\r\nnext"}
			assert.NilError(t, next.Start("127.0.0.1:0", t.Cleanup))
			text, err := Client{Nodes: []string{"http://" + first.Addr()}}.Run(t.Context(), "show versions")
			if c.ok {
				assert.NilError(t, err)
				assert.Equal(t, text, "body")
				return
			}
			assert.Assert(t, fault.Is(err, fault.KindUnreachable), "%v %q", err, text)
			text, err = Client{Nodes: []string{"http://" + first.Addr(), "http://" + next.Addr()}}.Run(t.Context(), "show versions")
			assert.NilError(t, err)
			assert.Equal(t, text, "next")
		})
	}
}
