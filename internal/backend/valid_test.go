package backend

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/broken"
)

// Guards against checks of answers that reject valid ones.
func TestValidAnswersArrive(t *testing.T) {
	const body = "a whole\n  body" // a line of the head could not begin so
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for name, c := range map[string]struct {
		answer string
		early  bool
		end    broken.End
		size   int
		status int
	}{
		"length":                      {answer: sealed + length},
		"early, connection kept":      {answer: sealed + length, early: true, size: uploadSize},
		"early, then close":           {answer: strings.Replace(sealed, "200 OK", "413 Too Large", 1) + length, early: true, end: broken.Close, size: uploadSize, status: http.StatusRequestEntityTooLarge},
		"early, then reset":           {answer: strings.Replace(sealed, "200 OK", "413 Too Large", 1) + length, early: true, end: broken.Reset, size: uploadSize, status: http.StatusRequestEntityTooLarge},
		"early in chunks, then reset": {answer: sealed + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + body + "\r\n0\r\n\r\n", early: true, end: broken.Reset, size: uploadSize},
		"ended by a close":            {answer: sealed + "\r\n" + body, end: broken.Close},
		"upload ended by a close":     {answer: sealed + "\r\n" + body, end: broken.Close, size: uploadSize},
		"early, ended by a half-close": {
			answer: sealed + "\r\n" + body, early: true, end: broken.HalfClose, size: uploadSize,
		},
		"HTTP/1.0":            {answer: strings.Replace(sealed, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n" + body, end: broken.Close},
		"unknown success":     {answer: strings.Replace(sealed, "200 OK", "299 Other", 1) + length, status: 299},
		"unknown failure":     {answer: strings.Replace(sealed, "200 OK", "599 Other", 1) + length, status: 599},
		"after interim":       {answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sealed + length},
		"trailer":             {answer: sealed + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + body + "\r\n0\r\nChecksum: x\r\n\r\n"},
		"line feeds only":     {answer: strings.ReplaceAll(sealed+length, "\r\n", "\n")},
		"blanks in a value":   {answer: sealed + "X:  a  b \r\n" + length},
		"no reason":           {answer: strings.Replace(sealed, "200 OK", "200", 1) + length},
		"empty value":         {answer: sealed + "X:\r\n" + length},
		"names of all tokens": {answer: sealed + "!#$%&'*+-.^_`|~09aZ: x\r\n" + length},
	} {
		for reader, read := range readers {
			t.Run(name+"/"+reader, func(t *testing.T) {
				t.Parallel()
				s := startBroken(t, &broken.Server{Answer: c.answer, Early: c.early, End: c.end})
				for i := range uploadRuns {
					ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
					defer cancel()
					status, got, err := read(ctx, s.Addr(), upload(fmt.Sprint(i), max(c.size, 10)))
					assert.NilError(t, err, "run %d", i)
					assert.Equal(t, status, cmp.Or(c.status, http.StatusOK))
					assert.Equal(t, got, body)
				}
			})
		}
	}
}
