package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a caller that sends bytes without end which are no request, and holds a
// connection and its memory.
func TestEndlessRequestsAreBounded(t *testing.T) {
	const (
		get     = "GET / HTTP/1.1\r\nHost: a\r\n"
		chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
		long    = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n"
		// maxSent is what fits into the limits and the socket buffers.
		maxSent = maxIgnored + 8<<20
	)
	const bad = http.StatusBadRequest
	const large, largeHead = http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge
	for name, c := range map[string]struct {
		first, text string
		// fast is the status if the bytes are sent at once; zero if they are a request.
		fast int
	}{
		"empty lines":          {"", "\r\n", largeHead},
		"request line":         {"", "x", largeHead},
		"header line":          {get + "X: ", "x", largeHead},
		"header lines":         {get, "X: x\r\n", largeHead},
		"body":                 {long, "x", 0},
		"digits of a size":     {chunked, "0", bad},
		"chunk extension":      {chunked + "1;", "x", bad},
		"chunks":               {chunked, "1\r\nx\r\n", large},
		"trailer line":         {chunked + "0\r\nX: ", "x", bad},
		"trailer lines":        {chunked + "0\r\n", "X: x\r\n", bad},
		"header behind answer": {get + "\r\n" + get + "X: ", "x", largeHead},
		"body behind answer":   {get + "\r\n" + long, "x", 0},
	} {
		for speed, status := range map[string]int{"fast": c.fast, "drip": http.StatusRequestTimeout} {
			if status == 0 {
				continue
			}
			t.Run(name+"/"+speed, func(t *testing.T) {
				t.Parallel()
				s := serve(t, echo)
				limits := Limits{Body: 100_000, HeadTimeout: 50 * time.Millisecond, BodySpan: 50 * time.Millisecond}
				if name == "empty lines" { // only the idle time-out ends them
					limits.IdleTimeout = 500 * time.Millisecond
				}
				s.SetLimits(limits)
				conn := dial(t, s)
				if status == http.StatusRequestTimeout {
					go tick(t, s)
				}
				sent, cause := make(chan int, 1), error(nil)
				go func() {
					n, err := io.WriteString(conn, c.first)
					text := strings.Repeat(c.text, 4096/len(c.text))
					for i := 0; err == nil; i++ {
						part := text
						if speed == "drip" {
							part = text[i%len(text):][:1]
							time.Sleep(5 * time.Millisecond)
						}
						_, err = io.WriteString(conn, part)
						n += len(part)
					}
					cause = err
					sent <- n
				}()
				reader := bufio.NewReader(conn)
				if strings.HasSuffix(name, "behind answer") {
					assert.Equal(t, readStatus(t, reader), http.StatusOK)
				}
				if name != "empty lines" || speed == "fast" { // these get no answer
					assert.Equal(t, readStatus(t, reader), status)
				}
				n := <-sent
				assert.Assert(t, !errors.Is(cause, os.ErrDeadlineExceeded), "the connection stayed open")
				assert.Assert(t, n < maxSent, "%d bytes were sent", n)
			})
		}
	}
}

func readStatus(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

// Guards against a bound on the time of a request that ends an honest one on a slow path.
func TestSlowRequestsAreRead(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		// part is sent every interval.
		part, parts int
		interval    time.Duration
		err         error
	}{
		"slow path":       {5000, 100, second, nil},
		"twice the bound": {2 * minBodyRate, 200, second, nil},
		"pauses":          {45 * minBodyRate, 10, 20 * second, nil},
		"below":           {minBodyRate / 2, 100, second, ErrBodyTooSlow},
		"drips":           {1, 100, second, ErrBodyTooSlow},
		"small":           {1, 3, second, nil},
		"slow at the end": {40 * minBodyRate, 3, 45 * second, ErrBodyTooSlow},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := Limits{}.withDefaults()
				f := framer{limits: func() *Limits { return &limits }}
				whole := 0
				parse := func([]byte) error { whole++; return nil }
				assert.NilError(t, f.feed(parse, []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n")))
				var err error
				for range c.parts {
					for range c.interval / second {
						time.Sleep(second)
						if err == nil {
							err = f.expired(time.Now())
						}
					}
					assert.NilError(t, f.feed(parse, make([]byte, min(c.part, f.left))))
				}
				assert.Equal(t, err, c.err)
			})
		})
	}
}
