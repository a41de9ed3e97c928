package mesh

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Guards against configurations that are lost on nodes which hold another one than
// their relay expects, and against whole documents between nodes.
func TestPatchesFitTheBase(t *testing.T) {
	configuration := func(n int) (raw []byte) {
		for i := range 500 {
			raw = fmt.Appendf(raw, `{"name":"route-%x","service":"s%d"},`, wire.Digest([]byte{byte(i), byte(i >> 8)}), n*i/499)
		}
		return raw
	}
	var p patches
	_, _, err := p.from(0)
	assert.Assert(t, err != nil)
	for i := range 5 {
		p.add(configuration(i))
	}
	latest := configuration(4)
	for name, c := range map[string]struct {
		has  []byte
		most int
	}{
		"the latest":   {latest, 100},
		"the last one": {configuration(3), 2000},
		"an older one": {configuration(2), 2000},
		"too old":      {configuration(1), 15000},
		"unknown":      {[]byte("{}"), 15000},
		"none":         {nil, 15000},
	} {
		t.Run(name, func(t *testing.T) {
			for range 2 {
				patch, base, err := p.from(wire.Digest(c.has))
				assert.NilError(t, err)
				assert.Assert(t, len(patch) <= c.most, "%d of %d bytes", len(patch), len(latest))
				has := c.has
				if base == 0 {
					has = nil
				}
				raw, err := wire.Apply(patch, has, maxConfiguration)
				assert.NilError(t, err)
				assert.Equal(t, string(raw), string(latest))
			}
		})
	}
}
