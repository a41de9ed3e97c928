package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/standin/broken"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	// uploadSize does not fit into the buffers of a connection, so that the request is
	// still being written when an early answer arrives.
	uploadSize = 12 << 20
	// uploadRuns is how often an upload is repeated, because it is up to the scheduler
	// whether the write or the read gets the error of a reset connection.
	uploadRuns = 15
	// sealed is the beginning of an answer that both readers accept.
	sealed = "HTTP/1.1 200 OK\r\nId: " + broken.ID + "\r\nSeal: s\r\n"
)

// readers are the ways to read an answer of a server to its end.
var readers = map[string]func(ctx context.Context, addr string, r call.Request) (status int, body string, err error){
	"client": func(ctx context.Context, addr string, r call.Request) (int, string, error) {
		var c Client
		defer c.CloseIdle()
		return readAnswer(c.Do(ctx, addr, r))
	},
	"pool": func(ctx context.Context, addr string, r call.Request) (int, string, error) {
		p := Pool{HeaderNames: testHeaderNames}
		defer p.Close()
		return readAnswer(p.Do(ctx, addr, r))
	},
}

func readAnswer(answer *call.Answer, err error) (int, string, error) {
	if err != nil {
		return 0, "", err
	}
	body := answer.Open()
	defer body.Close()
	text, err := io.ReadAll(body)
	return answer.Status, string(text), err
}

// startBroken starts a server that is stopped at the end of the test.
func startBroken(t *testing.T, s *broken.Server) *broken.Server {
	t.Helper()
	s.Header = "Id"
	if testHeaderNames.ID != s.Header {
		t.Fatal("the readers use another header")
	}
	assert.NilError(t, s.Start("127.0.0.1:0", t.Cleanup))
	return s
}

// upload returns a request with a body of the size.
func upload(id string, size int) call.Request {
	return call.Request{
		ID: id, Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, size),
		Header: http.Header{"Id": {id}}, Deadline: time.Now().Add(10 * time.Second),
	}
}

// Guards against a part of an answer that is taken for the whole one: the body has no
// length, and the server resets the connection while the request is being written. The
// write gets the error of the reset, and the read after it sees an end.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "part": 500, "long part": 2 * bufferedAnswer} {
		for reader, read := range readers {
			t.Run(name+"/"+reader, func(t *testing.T) {
				t.Parallel()
				s := startBroken(t, &broken.Server{Answer: sealed + "\r\n" + strings.Repeat("x", size), Early: true, End: broken.Reset})
				for i := range uploadRuns {
					id := fmt.Sprint(i)
					ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
					defer cancel()
					_, body, err := read(ctx, s.Addr(), upload(id, uploadSize))
					assert.Assert(t, err != nil, "run %d: %d bytes were taken for the whole answer", i, len(body))
					assert.Assert(t, fault.Is(err, fault.KindCutShort) || fault.Is(err, fault.KindServerLost), "%v", err)
					assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
					assert.Equal(t, s.Requests(id), 1)
				}
			})
		}
	}
}
