package backend

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/standin/broken"
)

// silentAnswers are answers with the body broken.Body in each framing.
var silentAnswers = map[string]string{
	"length":        sealed + "Content-Length: 14\r\n\r\n" + broken.Body,
	"chunks":        sealed + "Transfer-Encoding: chunked\r\n\r\n6\r\nthe wh\r\n8;a=b\r\nole body\r\n0\r\nX: y\r\n\r\n",
	"close":         sealed + "\r\n" + broken.Body,
	"interim":       "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sealed + "Content-Length: 14\r\n\r\n" + broken.Body,
	"other answer":  "HTTP/1.1 200 OK\r\nId: 0\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno" + sealed + "Content-Length: 14\r\n\r\n" + broken.Body,
	"without bytes": sealed + "Content-Length: 0\r\n\r\n",
}

// Guards against answers that end with an error because their server is silent for longer
// than a part of an answer may take, at any byte.
func TestSilenceEndsNoAnswer(t *testing.T) {
	silentReaders := map[string]func(ctx context.Context, addr string, r call.Request) (*call.Answer, error){
		"client": func(ctx context.Context, addr string, r call.Request) (*call.Answer, error) {
			c := Client{partTimeout: testPartTimeout}
			t.Cleanup(c.CloseIdle)
			return c.Do(ctx, addr, r)
		},
		"pool": func(ctx context.Context, addr string, r call.Request) (*call.Answer, error) {
			p := Pool{HeaderNames: testHeaderNames, partTimeout: testPartTimeout}
			t.Cleanup(p.Close)
			return p.Do(ctx, addr, r)
		},
	}
	for name, answer := range silentAnswers {
		for reader, do := range silentReaders {
			if name == "other answer" && reader == "client" {
				continue // only the pool skips answers to other requests
			}
			t.Run(name+"/"+reader, func(t *testing.T) {
				atEachByte(t, strings.ReplaceAll(answer, broken.ID, "1"), name == "close", func(addr string) error {
					status, body, err := readAnswer(do(t.Context(), addr, upload("1", 1)))
					if err == nil && (status != http.StatusOK || body != broken.Body && name != "without bytes") {
						err = eris.Errorf("the answer is %d %q", status, body)
					}
					return err
				})
			})
		}
	}
}

// Guards against probes that fail because their server is silent for a moment.
func TestSilenceEndsNoProbe(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nInstance: i\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	atEachByte(t, answer, false, func(addr string) error {
		p := Pool{HeaderNames: testHeaderNames, partTimeout: testPartTimeout}
		defer p.Close()
		_, _, healthy, err := p.Probe(t.Context(), addr, "/probe")
		if err == nil && !healthy {
			err = eris.New("the server is not healthy")
		}
		return err
	})
}

// atEachByte calls read with servers that send the answer and are silent at one of its bytes
// for longer than a part may take.
func atEachByte(t *testing.T, answer string, closes bool, read func(addr string) error) {
	t.Helper()
	var reading sync.WaitGroup
	errs := make([]error, len(answer)+1)
	for at := range errs {
		s := &broken.Server{Answer: answer, Pause: 4 * testPartTimeout, PauseAt: at}
		if closes {
			s.End = broken.Close
		}
		startBroken(t, s)
		reading.Go(func() { errs[at] = read(s.Addr()) })
	}
	reading.Wait()
	for at, err := range errs {
		assert.Check(t, err, "silent behind %q", answer[:at])
	}
}
