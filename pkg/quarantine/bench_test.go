package quarantine

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// fullTable returns a table at its memory limits with 11 requests running.
func fullTable() *Table {
	t := &Table{}
	for i := range Fingerprint(maxIncidents) {
		incident := Incident{ID: uint64(i + 1)}
		for n := range Fingerprint(16) {
			incident.Fingerprints = append(incident.Fingerprints, 1000+i*16+n)
		}
		t.Merge(incident, start)
	}
	for p := range Fingerprint(11) {
		t.Begin(p, start)
	}
	return t
}

func BenchmarkCheck4096Records(b *testing.B) {
	t := fullTable()
	b.ReportAllocs()
	for i := Fingerprint(0); b.Loop(); i++ {
		t.Check(i%8192, start)
	}
}

func BenchmarkBeginEnd12Running(b *testing.B) {
	t := fullTable()
	b.ReportAllocs()
	for b.Loop() {
		s, _ := t.Begin(500, start)
		t.End(s, true, start)
	}
}

func BenchmarkMergeAtBound(b *testing.B) {
	t := fullTable()
	incident := Incident{ID: 1 << 20, Fingerprints: make([]Fingerprint, 12)}
	b.ReportAllocs()
	for b.Loop() {
		incident.ID++
		for i := range incident.Fingerprints {
			incident.Fingerprints[i] = Fingerprint(incident.ID)<<8 + Fingerprint(i)
		}
		t.Merge(incident, start)
	}
}

// Guards against data races.
func TestConcurrentUse(t *testing.T) {
	var node, other Table
	var group sync.WaitGroup
	for p := range Fingerprint(50) {
		group.Go(func() {
			s, _ := node.Begin(p, start)
			node.Check(p, start)
			own, _ := node.Crash("server", s, start)
			other.Merge(own, start)
			node.End(s, true, start)
			theirs, _ := other.Begin(p, start)
			incident, _ := other.Crash("server", theirs, start)
			node.Merge(incident, start)
			node.Tick(start.Add(time.Second))
		})
	}
	group.Wait()
	assert.Equal(t, node.Check(99, start), Run)
}

// Guards against a short message with a large length field, for which the decoder
// would allocate gigabytes.
func TestClaimedLengthIsBounded(t *testing.T) {
	var i Incident
	err := msgpack.Unmarshal([]byte("\x81\xa1f\xdd\x30\x30\x30\x30"), &i)
	assert.ErrorContains(t, err, "808464432 fingerprints are over the limit")
}

// Guards against incidents from another node that cause a panic, grow the table
// beyond its limits, or differ after they are encoded again.
func FuzzIncident(f *testing.F) {
	for _, seed := range []Incident{
		{ID: 1, Server: "a", Fingerprints: []Fingerprint{7, 8}, SoleSuspect: 7, Age: time.Second},
		{ID: 2, Fingerprints: []Fingerprint{7, 7}, SoleSuspect: 9},
		{ID: 3, Fingerprints: make([]Fingerprint, MaxFingerprints+1), Age: -1},
	} {
		data, err := msgpack.Marshal(&seed)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var i, copied Incident
		if msgpack.Unmarshal(data, &i) != nil {
			return
		}
		var node Table
		merged := node.Merge(i, start)
		assert.Assert(t, !merged || i.Valid() && len(node.records) <= MaxFingerprints)
		assert.Assert(t, !node.Merge(i, start), "merged twice")
		again, err := msgpack.Marshal(&i)
		assert.NilError(t, err)
		assert.NilError(t, msgpack.Unmarshal(again, &copied))
		assert.Assert(t, copied.ID == i.ID && copied.SoleSuspect == i.SoleSuspect && slices.Equal(copied.Fingerprints, i.Fingerprints))
	})
}
