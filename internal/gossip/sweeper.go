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
	// SweepEvery is two refresh intervals, so that a row whose version is unchanged
	// between two sweeps has missed at least one refresh.
	SweepEvery = 2 * RefreshEvery
	// goneSweeps is the number of sweeps in a day. The row of a member that was frozen
	// or could not reach the table service for less than a day is kept. A member that
	// returns later creates its row again.
	goneSweeps = 144
	// supersededSweeps is lower, for rows whose address belongs to a newer member:
	// all members ignore the older one.
	supersededSweeps = 2
	// maxRemoved limits the writes of one sweep. The table service handles several
	// hundred a second, and 110 rows a day are expected.
	maxRemoved = 50
)

// VersionedRows is the part of the table service that the removal of rows needs.
// table.Client implements it.
type VersionedRows interface {
	List(ctx context.Context, prefix string) ([]table.Row, error)
	// Delete removes the row if it still has the given tag.
	Delete(ctx context.Context, key, tag string) error
}

// Sweeper removes the rows of members that are gone. Only the oldest member in the
// membership table does so. Two members may both be the oldest in their own tables;
// this does no harm, since each removal is conditional on an unchanged row.
//
// Absence is counted in sweeps that could read the rows, not in time. Otherwise, rows
// would be removed after a store outage, in which no member can write, and after a
// pause of this process or a clock jump.
type Sweeper struct {
	Rows VersionedRows
	Node *Node

	next time.Time
	// observed holds the rows whose members are gone, by key.
	observed map[string]observation
}

// observation counts the sweeps in which a row had the same tag.
type observation struct {
	tag   string
	count int
}

// Sweep removes the rows of members that are gone when a sweep is due, and returns
// their keys.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (removed []string, err error) {
	if now.Before(s.next) {
		return nil, nil
	}
	s.next = now.Add(SweepEvery)
	if !s.isOldest() {
		s.observed = nil
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
			// If the reply was lost, the next sweep repeats the removal with the same
			// tag.
			return removed, eris.Wrap(err, "remove the row of a member that is gone")
		}
	}
	return removed, nil
}

// isOldest reports whether no other reachable member started earlier.
func (s *Sweeper) isOldest() bool {
	own := s.Node.Protocol.Local()
	for _, m := range s.Node.Protocol.Table().Members() {
		older := m.Incarnation < own.Incarnation || m.Incarnation == own.Incarnation && m.ID < own.ID
		if older && m.Announced == member.StateAlive && m.State != member.StateUnreachable {
			return false
		}
	}
	return own.Announced == member.StateAlive
}

// count updates the observations and returns the rows to remove.
func (s *Sweeper) count(rows []table.Row) (due []table.Row) {
	before := s.observed
	s.observed = make(map[string]observation)
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
		observed := observation{tag: r.Tag, count: 1}
		if b := before[r.Key]; b.tag == r.Tag {
			observed.count += b.count
		}
		s.observed[r.Key] = observed
		superseded := newest[m.Addr].Incarnation > m.Incarnation
		if observed.count > goneSweeps || superseded && observed.count >= supersededSweeps {
			due = append(due, r)
		}
	}
	return due
}
