package member

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Kind names the purpose of a message.
type Kind uint8

// Kinds of messages.
const (
	KindUpdate   Kind = iota // changed records
	KindPing               // asks for an acknowledgement
	KindAck                // answers a ping
	KindRelay              // asks the receiver to ping Target for the sender
	KindDigest             // sums of the sender's table
	KindSync               // records of buckets that differ
	kindEnd
)

// StateUpdate is a belief about a member without the rest of its record, for
// receivers that know the record already.
type StateUpdate struct {
	Ref   `msgpack:",inline"`
	Seq   uint64 `msgpack:"q,omitempty"`
	State State  `msgpack:"t,omitempty"`
}

// Message is the content of one datagram. The first fields are the header that
// every message carries about its sender.
type Message struct {
	Kind        Kind   `msgpack:"k"`
	From        string `msgpack:"f"`
	Incarnation uint64 `msgpack:"i"`
	Seq         uint64 `msgpack:"q,omitempty"`
	// Config is the configuration version that the sender holds.
	Config uint64 `msgpack:"c,omitempty"`
	// Nonce matches an acknowledgement with its ping.
	Nonce uint32 `msgpack:"n,omitempty"`
	// Origin is the member for which a ping is relayed.
	Origin string `msgpack:"o,omitempty"`
	// Target is the member that a relay pings; in a relayed acknowledgement,
	// the member that answered.
	Target string `msgpack:"g,omitempty"`
	// WantRecord requests the receiver's own record.
	WantRecord bool `msgpack:"a,omitempty"`
	// LastContacts tells when the sender's region last heard from other regions.
	LastContacts    list[LastContact]     `msgpack:"h,omitempty"`
	Members  list[Member]  `msgpack:"m,omitempty"`
	StateUpdates list[StateUpdate] `msgpack:"v,omitempty"`
	Digest   []byte        `msgpack:"d,omitempty"`
	// Dead holds the 8-byte marks of records whose members are dead. A verdict
	// has about 40 bytes, so that the loss of a failure domain would take a
	// quarter of a minute to be known everywhere.
	Dead []byte `msgpack:"x,omitempty"`
	// DomainFailures holds the deaths of failure domains that lost several members.
	DomainFailures list[DomainFailure] `msgpack:"l,omitempty"`
}

// LastContact tells how long ago a region was heard.
type LastContact struct {
	Region string `msgpack:"r"`
	Millis uint32 `msgpack:"a"`
}

// list has at most one element for each byte of a message.
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
		return nil // a buffer and plain fields cannot fail
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
		m.Members[i] = m.Members[i].normal()
	}
	return m, nil
}

// Class orders traffic for shedding: anti-entropy is shed before control.
type Class uint8

// Classes of packets.
const (
	ClassControl Class = iota
	ClassAntiEntropy
)

// Packet is a message to send.
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

// MaxPayload keeps a sealed datagram within the 1,280 bytes that every IPv6
// path carries, with IP and UDP headers.
const MaxPayload = 1200

// Overhead is what a datagram adds to its payload: 29 bytes of sealing and 28
// of IPv4 and UDP headers.
const Overhead = 57

func milliseconds(d time.Duration) uint32 { return uint32(min(d.Milliseconds(), 1<<31)) }
