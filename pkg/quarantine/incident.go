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

// Fingerprint is a hash of what a request has in common with its next attempts: service,
// method, URI, body and caller.
type Fingerprint uint64

// String returns the fingerprint in the form that logs use.
func (p Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// MaxFingerprints is the largest number of fingerprints in one incident. A server
// has at most a few dozen slots.
const MaxFingerprints = 64

// maxServerIDLength is the largest length of a server ID received from another node.
const maxServerIDLength = 256

// Incident describes the crash of a backend server and the requests that it was
// running. It is immutable and is sent between nodes.
type Incident struct {
	// ID is a hash of the incident's data at its creation. The same crash has the
	// same ID at every node.
	ID     uint64 `msgpack:"i"`
	Server string `msgpack:"s"`
	// Fingerprints are those of the requests in flight at the crash, each one once.
	Fingerprints Fingerprints `msgpack:"f"`
	// SoleSuspect is the only request in flight that had been part of a crash before
	// it was started, so it is taken as the cause. Zero means none.
	SoleSuspect Fingerprint `msgpack:"l,omitempty"`
	// Age is the time since the crash. Nodes exchange ages because their wall clocks
	// differ.
	Age time.Duration `msgpack:"a,omitempty"`
}

// Fingerprints is a list of fingerprints in messages, decoded with a length limit.
type Fingerprints []Fingerprint

// DecodeMsgpack implements msgpack.CustomDecoder.
func (p *Fingerprints) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*p, err = wire.List[Fingerprint](d, MaxFingerprints, "fingerprints")
	return err
}

// Incidents is the list of incidents that is sent to a node that joins.
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
	return i.ID != 0 && i.Age >= 0 && len(i.Fingerprints) <= MaxFingerprints && len(i.Server) <= maxServerIDLength &&
		(i.SoleSuspect == 0 || slices.Contains(i.Fingerprints, i.SoleSuspect))
}

func newIncident(server string, number uint64, fingerprints []Fingerprint, soleSuspect Fingerprint, now time.Time) Incident {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(server)
	buf := binary.BigEndian.AppendUint64(nil, number)
	// The time distinguishes the incidents of a node before and after its restart.
	// A clock step back to the same nanosecond is not expected.
	buf = binary.BigEndian.AppendUint64(buf, uint64(now.UnixNano()))
	for _, p := range fingerprints {
		buf = binary.BigEndian.AppendUint64(buf, uint64(p))
	}
	_, _ = d.Write(buf)
	return Incident{ID: max(d.Sum64(), 1), Server: server, Fingerprints: fingerprints, SoleSuspect: soleSuspect}
}

// Release reports to other nodes that a suspect was answered.
type Release struct {
	Fingerprint Fingerprint   `msgpack:"f"`
	Age         time.Duration `msgpack:"a,omitempty"`
}
