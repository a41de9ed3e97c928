package gossip

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/member"
)

const (
	// SweepEvery is two refreshes, so that a row whose version is unchanged
	// between two sweeps has missed one.
	SweepEvery = 2 * RefreshEvery
	// goneSweeps make a day. A member that was frozen or cut off from the table
	// for less keeps its row; one that comes back later creates it again.
	goneSweeps = 144
	// supersededSweeps is enough for a row whose address belongs to a newer
	// member, since all members ignore the older one.
	supersededSweeps = 2
	// maxRemoved bounds the writes of one sweep, against several hundred a second
	// that the table takes; 110 rows a day are expected.
	maxRemoved = 50
)

// VersionedRows is the part of the table service that the removal of rows
// needs; table.Client is one.
type VersionedRows interface {
	List(ctx context.Context, prefix string) ([]table.Row, error)
	// Delete removes the row if its tag is still the given one.
	Delete(ctx context.Context, key, tag string) error
}

// Sweeper removes the rows of members that are gone. Only the oldest member of
// the table acts; two that both believe to be the oldest do no harm, since each
// removal is conditional on the version that was seen unchanged.
//
// Absence is counted in sweeps that could read the table, not in time: neither
// a store outage, in which no member can write, nor a pause of this process or
// a jump of a clock makes rows old.
type Sweeper struct {
	Rows VersionedRows
	Node *Node

	next time.Time
	// seen holds the rows whose members are gone by key.
	seen map[string]sighting
}

// sighting counts the sweeps that found a row with the same version.
type sighting struct {
	tag   string
	count int
}

// Sweep reads the rows when it is due and returns the keys of those that it
// removed.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (removed []string, err error) {
	if now.Before(s.next) {
		return nil, nil
	}
	s.next = now.Add(SweepEvery)
	if !s.oldest() {
		s.seen = nil
		return nil, nil
	}
	rows, err := s.Rows.List(ctx, RowPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "read member rows to remove old ones")
	}
	due := s.count(rows)
	for _, r := range due[:min(len(due), maxRemoved)] {
		err = s.Rows.Delete(ctx, r.Key, r.Tag)
		switch {
		case err == nil:
			removed = append(removed, r.Key)
		case !fault.Is(err, fault.KindConflict) && !fault.Is(err, fault.KindNotFound):
			// A removal with a lost reply is repeated with the same version.
			return removed, eris.Wrap(err, "remove the row of a member that is gone")
		}
	}
	return removed, nil
}

// oldest reports whether no reachable member started before this one.
func (s *Sweeper) oldest() bool {
	own := s.Node.Protocol.Announced()
	for _, m := range s.Node.Protocol.Table().Members() {
		older := m.Incarnation < own.Incarnation || m.Incarnation == own.Incarnation && m.ID < own.ID
		if older && m.Announced == member.StateAlive && m.State != member.StateUnreachable {
			return false
		}
	}
	return own.Announced == member.StateAlive
}

// count counts the sightings and returns the rows to remove.
func (s *Sweeper) count(rows []table.Row) (due []table.Row) {
	before := s.seen
	s.seen = make(map[string]sighting)
	newest := make(map[string]member.Member)
	known := s.Node.Protocol.Table()
	for _, m := range known.Members() {
		if m.Incarnation >= newest[m.Addr].Incarnation {
			newest[m.Addr] = m
		}
	}
	for _, r := range rows {
		var m row
		if msgpack.Unmarshal(r.Value, &m) != nil || m.ID == "" {
			continue
		}
		if _, visible := known.Get(m.ID); visible {
			continue
		}
		seen := sighting{tag: r.Tag, count: 1}
		if b := before[r.Key]; b.tag == r.Tag {
			seen.count += b.count
		}
		s.seen[r.Key] = seen
		superseded := newest[m.Addr].Incarnation > m.Incarnation
		if seen.count > goneSweeps || superseded && seen.count >= supersededSweeps {
			due = append(due, r)
		}
	}
	return due
}
