package mesh

import (
	"sync"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// recentConfigurations is the number of configurations that are kept as bases of
// patches: changes may follow each other faster than every node gets them.
const recentConfigurations = 3

// patchInfo is sent with requests for a configuration by nodes that accept patches, and
// with answers that are patches.
type patchInfo struct {
	// Base is the digest of the sender's configuration, or of the base of the patch;
	// zero for none.
	Base uint64 `msgpack:"b,omitempty"`
}

// patches makes patches from earlier configurations to the newest one. The zero value
// has none.
//
// Load pattern: configurations of hundreds of routes follow each other within tenths of
// a second, each differs from the last one in a route or two, and each node gets it from
// another one. Whole documents would be most of the traffic between failure domains.
type patches struct {
	mu sync.Mutex
	// recent holds the newest configurations, the latest first.
	recent []recentConfiguration
	// made holds the patches to the latest configuration by the digest of their base.
	made map[uint64][]byte
}

type recentConfiguration struct {
	digest uint64
	raw    []byte
}

// add sets the newest configuration.
func (p *patches) add(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recent = append([]recentConfiguration{{wire.Digest(raw), raw}}, p.recent[:min(len(p.recent), recentConfigurations-1)]...)
	p.made = make(map[uint64][]byte)
}

// base returns the newest configuration and its digest; zero if there is none.
func (p *patches) base() (raw []byte, digest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recent) == 0 {
		return nil, 0
	}
	return p.recent[0].raw, p.recent[0].digest
}

// from returns a patch to the newest configuration and the digest of its base. The base
// is the wanted one if it is known, else none.
func (p *patches) from(wanted uint64) (patch []byte, base uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recent) == 0 {
		return nil, 0, fault.New(fault.KindStopped, "this node has no configuration yet")
	}
	var raw []byte
	for _, c := range p.recent {
		if c.digest == wanted {
			raw, base = c.raw, wanted
		}
	}
	if patch = p.made[base]; patch == nil {
		patch, err = wire.Patch(p.recent[0].raw, raw)
		p.made[base] = patch
	}
	return patch, base, err
}
