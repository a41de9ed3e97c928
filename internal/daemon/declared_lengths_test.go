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

// maxDecoded is what decoding a message of some hundred bytes may allocate: the
// library allocates up to 1 MB for a string in one step.
const maxDecoded = 4 << 20

// peerMessages are the messages between nodes that contain lists, with the names of
// the lists in error messages.
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

// oversizedMessages returns the message truncated at each byte that may begin a list
// or a map, with a header there that declares a million elements.
func oversizedMessages(message []byte) (messages [][]byte) {
	for i, b := range message {
		code := byte(0xdd)
		switch {
		case b&0xf0 == 0x80:
			code = 0xdf
		case b&0xf0 == 0x90, b == 0xdc:
		default:
			continue
		}
		messages = append(messages, append(slices.Clone(message[:i]), code, 0, 0x10, 0, 0))
	}
	return messages
}

// allocatedBytes returns the number of bytes that a call allocates.
func allocatedBytes(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a decoder that allocates memory for the list length that a short
// message declares, or accepts more elements than nodes ever send.
func TestDeclaredLengthsAreBounded(t *testing.T) {
	overLimit := regexp.MustCompile(`1048576 (.*) are over the limit of`)
	for name, m := range peerMessages {
		t.Run(name, func(t *testing.T) {
			message, err := msgpack.Marshal(m.sample)
			assert.NilError(t, err)
			assert.NilError(t, m.decode(message))
			var refused []string
			for _, oversized := range oversizedMessages(message) {
				n := allocatedBytes(func() { err = m.decode(oversized) })
				assert.Assert(t, err != nil && n < maxDecoded, "%x allocates %d bytes: %v", oversized, n, err)
				if found := overLimit.FindStringSubmatch(err.Error()); found != nil {
					refused = append(refused, found[1])
				}
			}
			slices.Sort(refused)
			assert.DeepEqual(t, slices.Compact(refused), m.lists)
		})
	}
}

// Guards against allocations for declared lengths in messages of other forms than the
// samples.
func FuzzDeclaredLengths(f *testing.F) {
	for _, m := range peerMessages {
		message, err := msgpack.Marshal(m.sample)
		assert.NilError(f, err)
		f.Add(message)
		for _, oversized := range oversizedMessages(message) {
			f.Add(oversized)
		}
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		for name, m := range peerMessages {
			n := allocatedBytes(func() { _ = m.decode(message[:min(len(message), 1<<10)]) })
			assert.Assert(t, n < maxDecoded, "%s allocates %d bytes", name, n)
		}
	})
}
