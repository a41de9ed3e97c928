package gossip

import (
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/crypto/chacha20poly1305"
)

const (
	// version is the first byte of a datagram. Its first two bits are zero, which
	// distinguishes these packets from those of QUIC (RFC 9443).
	version   = 0x01
	keyInfo   = "vanillasail membership datagrams 1"
	minSecret = 16
	prefixLen = 8
	sealBytes = 1 + chacha20poly1305.NonceSize + chacha20poly1305.Overhead
)

// Sealer encrypts and authenticates datagrams. A datagram consists of a version byte,
// the nonce, and the message encrypted with ChaCha20-Poly1305. Replayed datagrams are
// not detected; the membership protocol tolerates them. It is safe for concurrent
// use.
type Sealer struct {
	aead cipher.AEAD

	mu sync.Mutex
	// prefix is the first part of the nonce. It is random for each run, and replaced
	// before counter overflows. With 110 starts a day, the probability that two runs
	// in a year have the same prefix is below one in ten billion.
	prefix  [prefixLen]byte
	counter uint32
}

// NewSealer returns a Sealer with a key derived from the cluster secret.
func NewSealer(secret []byte) (*Sealer, error) {
	if len(secret) < minSecret {
		return nil, eris.Errorf("cluster secret has %d bytes; set at least %d random bytes", len(secret), minSecret)
	}
	key, err := hkdf.Key(sha256.New, secret, nil, keyInfo, chacha20poly1305.KeySize)
	if err != nil {
		return nil, eris.Wrap(err, "derive datagram key")
	}
	aead, err := chacha20poly1305.New(key)
	if err != nil {
		return nil, eris.Wrap(err, "create datagram cipher")
	}
	s := &Sealer{aead: aead}
	_, _ = rand.Read(s.prefix[:])
	return s, nil
}

// Seal returns the datagram for a message.
func (s *Sealer) Seal(payload []byte) []byte {
	packet := make([]byte, 0, sealBytes+len(payload))
	packet = append(packet, version)
	packet = s.appendNonce(packet)
	return s.aead.Seal(packet, packet[1:], payload, packet[:1])
}

// Open returns the message in a datagram, or an error if the datagram was not sealed
// with the same cluster secret.
func (s *Sealer) Open(packet []byte) ([]byte, error) {
	if len(packet) < sealBytes || packet[0] != version {
		return nil, eris.Errorf("packet of %d bytes is not a membership datagram", len(packet))
	}
	nonce, sealed := packet[1:1+chacha20poly1305.NonceSize], packet[1+chacha20poly1305.NonceSize:]
	payload, err := s.aead.Open(nil, nonce, sealed, packet[:1])
	return payload, eris.Wrap(err, "open membership datagram; check that all nodes have the same cluster secret")
}

func (s *Sealer) appendNonce(b []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counter == math.MaxUint32 {
		_, _ = rand.Read(s.prefix[:])
		s.counter = 0
	}
	s.counter++
	b = append(b, s.prefix[:]...)
	return binary.BigEndian.AppendUint32(b, s.counter)
}
