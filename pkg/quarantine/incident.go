package quarantine

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Fingerprint is a hash of a request's service, method, URI and body.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs.
func (p Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// MaxFingerprints bounds the fingerprints of one incident; a server has at most some
// dozen slots.
const MaxFingerprints = 64

// maxServer bounds the length of a server's ID from another node.
const maxServer = 256

// Incident is the crash of a backend server and what it was running. It is
// immutable and travels between nodes.
type Incident struct {
	// ID is a hash of all that was known when the incident was made. The same
	// crash has the same ID at every node.
	ID     uint64 `msgpack:"i"`
	Server string `msgpack:"s"`
	// Fingerprints were in flight at the crash, without repetition.
	Fingerprints Fingerprints `msgpack:"f"`
	// SoleSuspect is the only one in flight that had been in a crash before it was
	// started, so it is taken for the cause. Zero means none.
	SoleSuspect Fingerprint `msgpack:"l,omitempty"`
	// Age is the time since the crash. Nodes exchange ages since their wall
	// clocks differ.
	Age time.Duration `msgpack:"a,omitempty"`
}

// Fingerprints are fingerprints on the wire.
type Fingerprints []Fingerprint

// DecodeMsgpack implements msgpack.CustomDecoder.
func (p *Fingerprints) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*p, err = wire.List[Fingerprint](d, MaxFingerprints, "fingerprints")
	return err
}

// Incidents are what a node tells one that joins.
type Incidents []Incident

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Incidents) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[Incident](d, maxIncidents, "incidents")
	return err
}

// WithAge returns a copy with another age.
func (i Incident) WithAge(d time.Duration) Incident {
	i.Age = d
	return i
}

// Valid reports whether the incident can be merged.
func (i Incident) Valid() bool {
	return i.ID != 0 && i.Age >= 0 && len(i.Fingerprints) <= MaxFingerprints && len(i.Server) <= maxServer &&
		(i.SoleSuspect == 0 || slices.Contains(i.Fingerprints, i.SoleSuspect))
}

func newIncident(server string, number uint64, prints []Fingerprint, lone Fingerprint, now time.Time) Incident {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(server)
	buf := binary.BigEndian.AppendUint64(nil, number)
	// The clock tells apart the incidents of a node before and after its
	// restart; a jump of the clock to the same nanosecond is not expected.
	buf = binary.BigEndian.AppendUint64(buf, uint64(now.UnixNano()))
	for _, p := range prints {
		buf = binary.BigEndian.AppendUint64(buf, uint64(p))
	}
	_, _ = d.Write(buf)
	return Incident{ID: max(d.Sum64(), 1), Server: server, Fingerprints: prints, SoleSuspect: lone}
}

// Release tells other nodes that a suspect has run to its end.
type Release struct {
	Fingerprint Fingerprint   `msgpack:"f"`
	Age   time.Duration `msgpack:"a,omitempty"`
}
