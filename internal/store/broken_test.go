package store

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/broken"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against replies that are none and pass for rows or objects, or make a write that may
// have taken effect look like one that failed.
func TestBrokenRepliesAreNone(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		length = "Content-Length: 4\r\n\r\nbody"
	)
	for name, c := range map[string]struct {
		reply string
		end   broken.End
		// kinds are the expected kinds for a read and a write; empty means success.
		read, write fault.Kind
	}{
		"whole":                {ok + length, broken.Keep, "", ""},
		"ended by a close":     {ok + "\r\nbody", broken.Close, "", ""},
		"status 000":           {strings.Replace(ok, "200", "000", 1) + length, broken.Close, fault.KindStoreDown, fault.KindWriteUnknown},
		"status 099":           {strings.Replace(ok, "200", "099", 1) + length, broken.Close, fault.KindStoreDown, fault.KindWriteUnknown},
		"status 101":           {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + length, broken.Close, fault.KindStoreDown, fault.KindWriteUnknown},
		"blank in a name":      {ok + "Bad Name: x\r\n" + length, broken.Close, fault.KindStoreDown, fault.KindWriteUnknown},
		"blank in the length":  {ok + "Content-Length : 4\r\n\r\nbody and more", broken.Close, fault.KindStoreDown, fault.KindWriteUnknown},
		"zero byte in a name":  {ok + "Ba\x00d: x\r\n" + length, broken.Close, fault.KindStoreDown, fault.KindWriteUnknown},
		"reset without length": {ok + "\r\nbody", broken.Reset, fault.KindStoreDown, ""},
		"cut":                  {ok + "Content-Length: 9\r\n\r\nbody", broken.Close, fault.KindStoreDown, ""},
		"unknown status":       {strings.Replace(ok, "200", "299", 1) + length, broken.Keep, "", ""},
	} {
		for method, kind := range map[string]fault.Kind{http.MethodGet: c.read, http.MethodPut: c.write} {
			t.Run(name+"/"+method, func(t *testing.T) {
				t.Parallel()
				s := &broken.Server{Answer: c.reply, End: c.end}
				assert.NilError(t, s.Start("127.0.0.1:0", t.Cleanup))
				e := Endpoint{Base: "http://" + s.Addr()}
				reply, err := e.Do(t.Context(), Request{Method: method, Path: "/object/x", Body: []byte("value")})
				if kind != "" {
					assert.Assert(t, fault.Is(err, kind), "%v %q", err, reply.Body)
					return
				}
				assert.NilError(t, err)
				if c.end != broken.Reset && name != "cut" {
					assert.Equal(t, string(reply.Body), "body")
				}
			})
		}
	}
}
