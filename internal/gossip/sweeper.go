package gossip

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

const (
	// SweepEvery is two refresh intervals, so that a row whose ETag is unchanged
	// between two sweeps has missed at least one refresh.
	SweepEvery = 2 * RefreshEvery
	// goneSweeps is the number of sweeps in a day. A row is removed after more sweeps
	// than this in which it was unchanged and its member missing. The row of a member
	// that was frozen or could not reach the table service for less than a day is
	// kept. A member that returns later creates its row again.
	goneSweeps = 144
	// supersededSweeps is the lower number of such sweeps for a row whose address
	// belongs to a newer member: all members ignore the older one.
	supersededSweeps = 2
	// maxRemoved limits the writes of one sweep. The table service handles several
	// hundred a second, and 110 rows a day are expected.
	maxRemoved = 50
)

// VersionedRows is the part of the table service that the removal of rows needs. Its
// rows have ETags. table.Client implements it.
type VersionedRows interface {
	List(ctx context.Context, prefix string) ([]table.Row, error)
	// Delete removes the row if it still has the given ETag.
	Delete(ctx context.Context, key, etag string) error
}

// Sweeper removes the rows of members that have been missing from the membership
// table of this node for a day. Only the oldest live member in the membership table
// does so. Two members may both be the oldest in their own tables; this does no harm,
// since each removal is conditional on an unchanged row.
//
// Absence is counted in sweeps that could read the rows, not in time. Otherwise, rows
// would be removed after a store outage, in which no member can write, and after a
// pause of this process or a clock jump.
type Sweeper struct {
	Rows VersionedRows
	Node *Node

	next time.Time
	// absences has an entry for each row whose member is missing from this node's
	// membership table, by key.
	absences map[string]absence
}

// absence counts the sweeps in a row in which a member was missing and its row had
// the same ETag.
type absence struct {
	etag   string
	sweeps int
}

// Sweep removes the rows of members that are gone when a sweep is due, and returns
// their keys.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (removed []string, err error) {
	if now.Before(s.next) {
		return nil, nil
	}
	s.next = now.Add(SweepEvery)
	if !s.isOldest() {
		s.absences = nil
		return nil, nil
	}
	rows, err := s.Rows.List(ctx, RowPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "read member rows to remove old ones")
	}
	due := s.countAbsences(rows)
	for _, r := range due[:min(len(due), maxRemoved)] {
		err = s.Rows.Delete(ctx, r.Key, r.Tag)
		switch {
		case err == nil:
			removed = append(removed, r.Key)
		case !fault.Is(err, fault.KindConflict) && !fault.Is(err, fault.KindNotFound):
			// If the reply was lost, the next sweep repeats the removal with the same
			// ETag.
			return removed, eris.Wrap(err, "remove the row of a member that is gone")
		}
	}
	return removed, nil
}

// isOldest reports whether the local member is alive and no other live, reachable
// member started earlier.
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

// countAbsences updates the absences and returns the rows to remove.
func (s *Sweeper) countAbsences(rows []table.Row) (due []table.Row) {
	before := s.absences
	s.absences = make(map[string]absence)
	newest := make(map[string]member.Member)
	known := s.Node.Protocol.Table()
	for _, m := range known.Members() {
		if m.Incarnation >= newest[m.Addr].Incarnation {
			newest[m.Addr] = m
		}
	}
	for _, r := range rows {
		var m row
		if wire.Unmarshal(r.Value, &m) != nil || m.ID == "" {
			continue
		}
		if _, visible := known.Get(m.ID); visible {
			continue
		}
		missing := absence{etag: r.Tag, sweeps: 1}
		if b := before[r.Key]; b.etag == r.Tag {
			missing.sweeps += b.sweeps
		}
		s.absences[r.Key] = missing
		superseded := newest[m.Addr].Incarnation > m.Incarnation
		if missing.sweeps > goneSweeps || superseded && missing.sweeps >= supersededSweeps {
			due = append(due, r)
		}
	}
	return due
}
