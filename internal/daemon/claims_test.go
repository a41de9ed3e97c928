package daemon

import (
	"net/http"
	"regexp"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/evidence"
	"github.com/vanillasail/vanillasail/internal/metrics"
	"github.com/vanillasail/vanillasail/internal/operator"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/once"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// maxDecoded is what a message of some hundred bytes may allocate: the library
// makes room for 1 MB of a string at once.
const maxDecoded = 4 << 20

// peerMessages are the messages from other nodes that hold lists, with the
// nouns of their lists.
var peerMessages = map[string]struct {
	sample any
	decode func([]byte) error
	lists  []string
}{
	"incidents": {quarantine.Incidents{{ID: 1, Fingerprints: quarantine.Fingerprints{7}}}, into[quarantine.Incidents], []string{"fingerprints", "incidents"}},
	"transfer":  {once.Chunk{Records: once.Records{{Claim: once.Claim{Key: "k"}}}}, into[once.Chunk], []string{"records"}},
	"decisions": {evidence.DecisionList{{Considered: operator.Candidates{{Server: "n"}}}}, into[evidence.DecisionList], []string{"candidates", "decisions"}},
	"windows": {metrics.Windows{After: &metrics.Window{From: time.Second, Figures: metrics.Figures{
		Latency: metrics.Latencies{{Counts: []byte{1}}}, Refusals: metrics.Refusals{{Kind: "k"}}, Links: metrics.Links{{From: "a"}},
	}}}, into[metrics.Windows], []string{"counts of refusals", "histograms", "links"}},
	"request": {call.Request{ID: "r", Header: http.Header{"A": {"b", "c"}}}, into[call.Request], []string{"header names", "header values"}},
	"datagram": {
		member.Message{From: "n", LastContacts: []member.LastContact{{Region: "r"}}}, func(data []byte) error {
			_, err := member.Decode(data)
			return err
		}, []string{"elements"},
	},
	"shards": {map[string]any{"f": 1, "s": shardsOf("s")}, func(data []byte) error {
		_, err := once.DecodeMap("s", data)
		return err
	}, []string{"shards"}},
}

func shardsOf(service string) (all []once.Shard) {
	for i := range once.Shards {
		all = append(all, once.Shard{Service: service, Index: i, Epoch: 1, Owner: once.Ref{ID: "n"}})
	}
	return all
}

func into[T any](data []byte) error {
	var v T
	return wire.Unmarshal(data, &v)
}

// claims returns the message cut off after each byte that may begin a list or a
// map, which then claims a million elements.
func claims(message []byte) (all [][]byte) {
	for i, b := range message {
		code := byte(0xdd)
		switch {
		case b&0xf0 == 0x80:
			code = 0xdf
		case b&0xf0 == 0x90, b == 0xdc:
		default:
			continue
		}
		all = append(all, append(slices.Clone(message[:i]), code, 0, 0x10, 0, 0))
	}
	return all
}

// allocated returns the bytes that a call allocates.
func allocated(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a list whose decoder makes room for the length that a short
// message claims, or takes more elements than nodes ever send.
func TestClaimedLengthsAreBounded(t *testing.T) {
	overLimit := regexp.MustCompile(`1048576 (.*) are over the limit of`)
	for name, m := range peerMessages {
		t.Run(name, func(t *testing.T) {
			message, err := msgpack.Marshal(m.sample)
			assert.NilError(t, err)
			assert.NilError(t, m.decode(message))
			var refused []string
			for _, claim := range claims(message) {
				n := allocated(func() { err = m.decode(claim) })
				assert.Assert(t, err != nil && n < maxDecoded, "%x allocates %d bytes: %v", claim, n, err)
				if found := overLimit.FindStringSubmatch(err.Error()); found != nil {
					refused = append(refused, found[1])
				}
			}
			slices.Sort(refused)
			assert.DeepEqual(t, slices.Compact(refused), m.lists)
		})
	}
}

// Guards against a message of another form than the samples that allocates for
// what it claims.
func FuzzClaimedLengths(f *testing.F) {
	for _, m := range peerMessages {
		message, err := msgpack.Marshal(m.sample)
		assert.NilError(f, err)
		f.Add(message)
		for _, claim := range claims(message) {
			f.Add(claim)
		}
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		for name, m := range peerMessages {
			n := allocated(func() { _ = m.decode(message[:min(len(message), 1<<10)]) })
			assert.Assert(t, n < maxDecoded, "%s allocates %d bytes", name, n)
		}
	})
}
