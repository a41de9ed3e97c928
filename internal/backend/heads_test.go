package backend

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/broken"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against heads that are no answer in HTTP/1.1 and reach the caller as one, as a
// whole or with a body that is not the server's.
func TestBrokenHeadsAreNoAnswer(t *testing.T) {
	const (
		length = "Content-Length: 4\r\n\r\nbody"
		valid  = sealed + length
	)
	status := func(code string) string {
		return strings.Replace(valid, "200", code, 1)
	}
	for name, answer := range map[string]string{
		"status 000":                 status("000"),
		"status 001":                 status("001"),
		"status 099":                 status("099"),
		"status with a sign":         status("+20"),
		"status of two digits":       status("20"),
		"status of four digits":      status("2000"),
		"switch of protocols":        status("101"),
		"answer behind status 000":   strings.Replace(sealed, "200", "000", 1) + "Content-Length: 0\r\n\r\n" + valid,
		"answer in body of 000":      "HTTP/1.1 000 No\r\nContent-Length: 1000\r\n\r\n" + valid,
		"answer behind a switch":     "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + valid,
		"blank before the colon":     sealed + "Content-Length : 4\r\n\r\nbody and more",
		"blank in encoding":          sealed + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"blank in a name":            sealed + "Bad Name: x\r\n" + length,
		"tab before the colon":       sealed + "Bad\t: x\r\n" + length,
		"zero byte in a name":        sealed + "Ba\x00d: x\r\n" + length,
		"bell in a name":             sealed + "Ba\x07d: x\r\n" + length,
		"delete in a name":           sealed + "Ba\x7fd: x\r\n" + length,
		"carriage return in a name":  sealed + "Ba\rd: x\r\n" + length,
		"no name":                    sealed + ": x\r\n" + length,
		"no colon":                   sealed + "Bad\r\n" + length,
		"blank in an interim answer": "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + valid,
		"blank before a name":        sealed + " Bad: x\r\n" + length,
		"blank before the length":    sealed + " Content-Length: 4\r\n\r\nbody and more",
		"tab before a name":          sealed + "\tBad: x\r\n" + length,
		"blank line with a blank":    sealed + " \r\n" + length,
		"fold in an interim answer":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n b\r\n\r\n" + valid,
		"blank behind an interim":    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sealed + " Bad: x\r\n" + length,
		"blank in a trailer":         sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nBad Name: x\r\n\r\n",
		"zero byte in a trailer":     sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nBa\x00d: x\r\n\r\n",
		"HTTP/2.0":                   strings.Replace(valid, "HTTP/1.1", "HTTP/2.0", 1),
		"HTTP/0.9":                   strings.Replace(valid, "HTTP/1.1", "HTTP/0.9", 1),
		"another protocol":           strings.Replace(valid, "HTTP/1.1", "ICAP/1.0", 1),
		"chunks in HTTP/1.0":         strings.Replace(sealed, "HTTP/1.1", "HTTP/1.0", 1) + "transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		for reader, read := range readers {
			t.Run(name+"/"+reader, func(t *testing.T) {
				t.Parallel()
				s := startBroken(t, &broken.Server{Answer: answer, End: broken.Close})
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				code, body, err := read(ctx, s.Addr(), upload("1", 10))
				assert.Assert(t, err != nil, "taken for an answer: status %d, body %q", code, body)
				assert.Assert(t, fault.Is(err, fault.KindCutShort) || fault.Is(err, fault.KindServerLost), "%v", err)
				assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
				assert.Equal(t, s.Requests("1"), 1)
			})
		}
	}
}
