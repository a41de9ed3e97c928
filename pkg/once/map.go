package once

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Shards is the number of shards into which the keys of a service are divided.
const Shards = 32

const mapFormat = 1

// Map is the shard map of one service. It is immutable and is stored in one row
// of the table service.
type Map struct {
	Service string
	// Shards has exactly Shards entries, ordered by index.
	Shards []Shard
}

type mapRow struct {
	Format int       `msgpack:"f"`
	Shards rowShards `msgpack:"s"`
}

type rowShards []Shard

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *rowShards) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[Shard](d, Shards, "shards")
	return err
}

// RowKey returns the key of the table row with the shard map of a service.
func RowKey(service string) string { return "once/" + service }

// ShardIndex returns the index of the shard that a key hashes to.
func ShardIndex(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// Digest returns the request digest with which the reuse of a key for a
// different request is detected.
func Digest(method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{method, path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Shard returns the shard of a key, or the zero Shard for an empty map.
func (m Map) Shard(key string) Shard {
	if len(m.Shards) != Shards {
		return Shard{}
	}
	return m.Shards[ShardIndex(key)]
}

// With returns a copy with one shard replaced.
func (m Map) With(s Shard) Map {
	m.Shards = slices.Clone(m.Shards)
	m.Shards[s.Index] = s
	return m
}

// Encode serializes the map for its table row.
func (m Map) Encode() ([]byte, error) {
	b, err := msgpack.Marshal(mapRow{Format: mapFormat, Shards: m.Shards})
	return b, eris.Wrap(err, "encode shard map")
}

// DecodeMap parses the content of a table row.
func DecodeMap(service string, b []byte) (Map, error) {
	var row mapRow
	if err := wire.Unmarshal(b, &row); err != nil {
		return Map{}, eris.Wrapf(err, "table row %s is not a shard map; restore it from the table's backup", RowKey(service))
	}
	if row.Format != mapFormat || len(row.Shards) != Shards {
		return Map{}, eris.Errorf("table row %s has format %d and %d shards; all nodes must run compatible versions",
			RowKey(service), row.Format, len(row.Shards))
	}
	for i, s := range row.Shards {
		if s.Service != service || s.Index != i || s.Epoch == 0 || s.Owner.IsZero() || s.Owner == s.Backup {
			return Map{}, eris.Errorf("table row %s has an invalid shard %d; restore it from the table's backup", RowKey(service), i)
		}
	}
	return Map{Service: service, Shards: row.Shards}, nil
}
