package config_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/config"
)

// targetDocument has the size that the system is designed for: 23 services and an
// override for each of about 710 servers.
func targetDocument() []byte {
	var b strings.Builder
	b.WriteString("services:\n")
	for s := range 23 {
		fmt.Fprintf(&b, "  service-%d:\n    queue: 64\n    rules: {POST /lookup: idempotent, /count: non-idempotent}\n    servers:\n", s)
		for n := range 31 {
			fmt.Fprintf(&b, "      node-%d-%d: {slots: 12}\n", s, n)
		}
	}
	return []byte(b.String())
}

func BenchmarkDecodeAccepted(b *testing.B) {
	body := targetDocument()
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := config.DecodeAccepted(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkIdempotent(b *testing.B) {
	s := decode(b, sample).Services["stock"]
	b.ReportAllocs()
	for b.Loop() {
		s.Idempotent("POST", "/stock/reserve/7")
	}
}

// Guards against heap allocations on the request path.
func TestRequestPathDoesNotAllocate(t *testing.T) {
	m := &config.Manager{}
	s := decode(t, sample).Services["stock"]
	assert.Equal(t, testing.AllocsPerRun(100, func() { s.Idempotent("POST", "/stock/reserve/7"); m.Current() }), 0.0)
}
