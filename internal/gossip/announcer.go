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
	// RowPrefix is where member rows are kept in the table service.
	RowPrefix = "member/"
	// RefreshEvery makes 2.4 writes/s of 710 nodes.
	RefreshEvery = 5 * time.Minute
	// rowAge is the age from which a row is only a hint: its member missed two
	// refreshes.
	rowAge = 2*RefreshEvery + time.Minute
	// retryEvery is the wait after a failed write.
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

// Announcer keeps the own member row and reads those of the others. The calls
// do I/O and belong in a goroutine other than the one that ticks.
type Announcer struct {
	Rows Rows
	Node *Node
	// Wall reads the wall clock; nil means time.Now.
	Wall func() time.Time

	mu sync.Mutex
	// next is when the own row is written again.
	next time.Time
	// joined is set once the rows were read after the own one was written.
	joined atomic.Bool
}

// Join reads the member rows, writes the own one and reads them again: nodes
// that start at the same moment would otherwise all read before any has
// written, and never learn of each other. When the table is down it returns the
// error; the node then joins through its seeds, and Refresh joins later.
func (a *Announcer) Join(ctx context.Context, now time.Time) error {
	a.due(now, true)
	if err := a.learn(ctx, now); err != nil {
		return err
	}
	if err := a.put(ctx, now); err != nil {
		return err
	}
	if err := a.learn(ctx, now); err != nil {
		return err
	}
	a.joined.Store(true)
	return nil
}

func (a *Announcer) learn(ctx context.Context, now time.Time) error {
	values, err := a.Rows.List(ctx, RowPrefix)
	if err != nil {
		return eris.Wrap(err, "read member rows; joining through the seed addresses")
	}
	fresh, stale := a.sort(values)
	a.Node.Protocol.AddMembers(now, fresh)
	a.Node.Protocol.AddSeeds(stale...)
	a.Node.observe()
	return nil
}

// Refresh writes the own row when it is due, or joins if that has failed.
func (a *Announcer) Refresh(ctx context.Context, now time.Time) error {
	if !a.due(now, false) {
		return nil
	}
	if !a.joined.Load() {
		return a.Join(ctx, now)
	}
	return a.put(ctx, now)
}

// Leave writes the own row once more. Call it after Node.Leave and after the
// last Refresh has returned, which could otherwise write an older row later.
func (a *Announcer) Leave(ctx context.Context, now time.Time) error {
	return a.put(ctx, now)
}

func (a *Announcer) put(ctx context.Context, now time.Time) error {
	own := a.Node.Protocol.Announced()
	value, err := msgpack.Marshal(row{Member: own, Time: a.wall().Unix()})
	if err != nil {
		return eris.Wrap(err, "encode member row")
	}
	if err := a.Rows.Put(ctx, RowPrefix+own.ID, value); err != nil {
		return eris.Wrap(err, "write member row; it is written again in 10 s")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next = now.Add(RefreshEvery)
	return nil
}

// due reports whether to write now, and sets the time of the next attempt.
func (a *Announcer) due(now time.Time, always bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !always && now.Before(a.next) {
		return false
	}
	a.next = now.Add(retryEvery)
	return true
}

// sort separates rows that were refreshed recently from old ones, whose
// addresses serve as seeds only. Age counts from the own clock or the newest
// row, whichever is later: a clock that jumped then makes seeds of members, but
// never members of the dead.
func (a *Announcer) sort(values map[string][]byte) (fresh []member.Member, stale []string) {
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
	self := a.Node.Protocol.Announced().ID
	reference := max(newest, a.wall().Unix())
	for _, r := range rows {
		age := time.Duration(reference-r.Time) * time.Second
		switch {
		case r.ID == self:
			// However old, the row tells the last incarnation.
			fresh = append(fresh, r.Member)
		case r.Announced == member.StateLeaving:
		case age <= rowAge:
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
