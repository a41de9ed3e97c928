package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

const (
	// RowPrefix is the prefix of the keys of member rows in the table service.
	RowPrefix = "member/"
	// RefreshEvery is how often a node writes its row. With 710 nodes this is 2.4
	// writes a second.
	RefreshEvery = 5 * time.Minute
	// staleAfter is the age above which only the address of a row is used, as a seed.
	// Its member missed two refreshes.
	staleAfter = 2*RefreshEvery + time.Minute
	// retryEvery is the interval between attempts after a failed write.
	retryEvery = 10 * time.Second
)

// Rows is the part of the table service that membership needs.
type Rows interface {
	// List returns the values of all rows whose key has the prefix.
	List(ctx context.Context, prefix string) (map[string][]byte, error)
	Put(ctx context.Context, key string, value []byte) error
}

// row is a member row. Time is the writer's wall clock in seconds.
type row struct {
	member.Member `msgpack:",inline"`
	Time          int64 `msgpack:"w"`
}

// Announcer writes the member row of the local member and reads those of the others.
// Its methods do I/O and must not be called from the goroutine that calls Node.Tick.
type Announcer struct {
	Rows Rows
	Node *Node
	// Wall returns the wall-clock time; nil means time.Now.
	Wall func() time.Time

	mu sync.Mutex
	// next is when the local row is written again.
	next time.Time
	// joined is set once the rows have been read after the local one was written.
	joined atomic.Bool
}

// Join reads the member rows, writes the local one and reads the rows again. Nodes
// that start at the same time could otherwise all read before any of them has
// written, and never get to know each other. If the table service is down, Join
// returns the error. The node then joins through its seeds, and Refresh calls Join
// again.
func (a *Announcer) Join(ctx context.Context, now time.Time) error {
	a.due(now, true)
	if err := a.readRows(ctx, now); err != nil {
		return err
	}
	if err := a.writeRow(ctx, now); err != nil {
		return eris.Wrap(err, writtenAgain)
	}
	if err := a.readRows(ctx, now); err != nil {
		return err
	}
	a.joined.Store(true)
	return nil
}

func (a *Announcer) readRows(ctx context.Context, now time.Time) error {
	values, err := a.Rows.List(ctx, RowPrefix)
	if err != nil {
		return eris.Wrap(err, "read member rows; joining through the seed addresses")
	}
	fresh, stale := a.splitRows(values)
	a.Node.Protocol.AddMembers(now, fresh)
	a.Node.Protocol.AddSeeds(stale...)
	a.Node.notifyObserver()
	return nil
}

// Refresh writes the local row when it is due, or calls Join if it has not succeeded
// yet.
func (a *Announcer) Refresh(ctx context.Context, now time.Time) error {
	if !a.due(now, false) {
		return nil
	}
	if !a.joined.Load() {
		return a.Join(ctx, now)
	}
	return eris.Wrap(a.writeRow(ctx, now), writtenAgain)
}

const writtenAgain = "the member row is written again in 10 s"

// Leave writes the local row with the state leaving. Call it after Node.Leave and
// after the last Refresh has returned, which could otherwise overwrite the row with
// an older one. After an error the row is not written again.
func (a *Announcer) Leave(ctx context.Context, now time.Time) error {
	return eris.Wrap(a.writeRow(ctx, now), "members that start may take this one for alive until its row is 11 min old")
}

func (a *Announcer) writeRow(ctx context.Context, now time.Time) error {
	own := a.Node.Protocol.Local()
	value, err := msgpack.Marshal(row{Member: own, Time: a.wall().Unix()})
	if err != nil {
		return eris.Wrap(err, "encode member row")
	}
	if err := a.Rows.Put(ctx, RowPrefix+own.ID, value); err != nil {
		return eris.Wrap(err, "write member row")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next = now.Add(RefreshEvery)
	return nil
}

// due reports whether the row is to be written now. If so, it sets the time of the
// next attempt.
func (a *Announcer) due(now time.Time, always bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !always && now.Before(a.next) {
		return false
	}
	a.next = now.Add(retryEvery)
	return true
}

// splitRows separates rows that were refreshed recently from stale ones, of which it
// returns the addresses. The age of a row is relative to the local clock or the
// newest row, whichever is later. After a clock jump, rows of live members may thus
// be stale, but rows of dead members are never fresh.
func (a *Announcer) splitRows(values map[string][]byte) (fresh []member.Member, stale []string) {
	var rows []row
	var newest int64
	for _, v := range values {
		var r row
		if wire.Unmarshal(v, &r) != nil || r.ID == "" {
			continue
		}
		newest = max(newest, r.Time)
		rows = append(rows, r)
	}
	self := a.Node.Protocol.Local().ID
	reference := max(newest, a.wall().Unix())
	for _, r := range rows {
		age := time.Duration(reference-r.Time) * time.Second
		switch {
		case r.ID == self:
			// The last incarnation is needed, however old the row is.
			fresh = append(fresh, r.Member)
		case r.Announced == member.StateLeaving:
		case age <= staleAfter:
			fresh = append(fresh, r.Member)
		default:
			stale = append(stale, r.Addr)
		}
	}
	return fresh, stale
}

func (a *Announcer) wall() time.Time {
	if a.Wall != nil {
		return a.Wall()
	}
	return time.Now()
}
