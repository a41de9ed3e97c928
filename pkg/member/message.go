package member

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Kind is the purpose of a message.
type Kind uint8

// Kinds of messages.
const (
	KindUpdate Kind = iota // changed records
	KindPing               // requests an acknowledgement
	KindAck                // acknowledges a ping
	KindRelay              // asks the receiver to ping Target for the sender
	KindDigest             // checksums of the sender's table
	KindSync               // records of the buckets that differ
	kindEnd
)

// StateUpdate is the state of a member without the rest of its record, for
// receivers that have the record already.
type StateUpdate struct {
	Ref   `msgpack:",inline"`
	Seq   uint64 `msgpack:"q,omitempty"`
	State State  `msgpack:"t,omitempty"`
}

// Message is the content of one datagram. The fields from Kind to Config are the
// header of every message.
type Message struct {
	Kind        Kind   `msgpack:"k"`
	From        string `msgpack:"f"`
	Incarnation uint64 `msgpack:"i"`
	Seq         uint64 `msgpack:"q,omitempty"`
	// Config is the configuration version that the sender holds.
	Config uint64 `msgpack:"c,omitempty"`
	// Nonce matches an acknowledgement to its ping.
	Nonce uint32 `msgpack:"n,omitempty"`
	// Origin is the member that requested a relayed ping.
	Origin string `msgpack:"o,omitempty"`
	// Target is the member that a relay is to ping; in a relayed acknowledgement,
	// the member that acknowledged.
	Target string `msgpack:"g,omitempty"`
	// WantRecord requests the receiver's record.
	WantRecord bool `msgpack:"a,omitempty"`
	// LastContacts is how long ago the sender's region received an acknowledgement
	// from each of the other regions.
	LastContacts list[LastContact] `msgpack:"h,omitempty"`
	Members      list[Member]      `msgpack:"m,omitempty"`
	StateUpdates list[StateUpdate] `msgpack:"v,omitempty"`
	Digest       []byte            `msgpack:"d,omitempty"`
	// Dead holds the 8-byte fingerprints of the records of dead members. A
	// StateUpdate takes about 40 bytes. If dead members were sent as StateUpdates,
	// the failure of a failure domain would take 15 s to reach all members.
	Dead []byte `msgpack:"x,omitempty"`
	// DomainFailures holds the dead members of failure domains in which several
	// members died.
	DomainFailures list[DomainFailure] `msgpack:"l,omitempty"`
}

// LastContact is how long ago a region last acknowledged a ping.
type LastContact struct {
	Region string `msgpack:"r"`
	Millis uint32 `msgpack:"a"`
}

// list is a slice that is decoded with at most one element for each byte of a
// message.
type list[T any] []T

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *list[T]) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[T](d, MaxPayload, "elements")
	return err
}

// Encode returns the message in wire form.
func (m *Message) Encode() []byte {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil // writing plain fields to a buffer cannot fail
	}
	return b.Bytes()
}

// Decode reads a message in wire form.
func Decode(payload []byte) (*Message, error) {
	if len(payload) > MaxPayload {
		return nil, eris.Errorf("message has %d bytes, at most %d are allowed", len(payload), MaxPayload)
	}
	m := new(Message)
	if err := wire.Unmarshal(payload, m); err != nil {
		return nil, eris.Wrap(err, "decode membership message")
	}
	if m.Kind >= kindEnd || m.From == "" {
		return nil, eris.Errorf("message of kind %d from %q is not valid", m.Kind, m.From)
	}
	for i := range m.Members {
		m.Members[i] = m.Members[i].normalized()
	}
	return m, nil
}

// Class is the priority of traffic: anti-entropy is shed before control.
type Class uint8

// Classes of packets.
const (
	ClassControl Class = iota
	ClassAntiEntropy
)

// Packet is an encoded message with its receiver.
type Packet struct {
	// To is the receiver's ID, or empty when only its address is known.
	To string
	// Addr is never empty.
	Addr string
	// Region is the receiver's region, or empty when it is not known.
	Region  string
	Class   Class
	Payload []byte
}

// MaxPayload is the largest payload with which a sealed datagram, including IP and
// UDP headers, fits into the 1,280 bytes that every IPv6 path carries.
const MaxPayload = 1200

// Overhead is the number of bytes that a datagram adds to its payload: 29 bytes of
// encryption and 28 bytes of IPv4 and UDP headers.
const Overhead = 57

func milliseconds(d time.Duration) uint32 { return uint32(min(d.Milliseconds(), 1<<31)) }
