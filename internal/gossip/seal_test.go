package gossip_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkSealAndOpen measures the encryption that BenchmarkScaling of pkg/member
// leaves out.
func BenchmarkSealAndOpen(b *testing.B) {
	s := sealer(b, secret)
	payload := make([]byte, 60)
	for b.Loop() {
		_, err := s.Open(s.Seal(payload))
		assert.NilError(b, err)
	}
}
