package daemon

import (
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/operator"
	"github.com/vanillasail/vanillasail/internal/owner"
	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/once"
)

const shardInterval = time.Second

// shards runs keyed requests at most once.
type shards struct {
	owner.Controller
	journal
	records  once.RecordStore
	lastTick time.Time
}

func (s *shards) assemble(n *Node) {
	s.Records = &s.records
	s.journal = journal{&n.telemetry}
	s.Members = shardMembers{&n.members}
	s.Network = &n.transport
	s.Table = shardRows{n.tableClient()}
	s.Next = &n.dispatcher
	s.Log = n.Log.WithField("node", n.ID)
	maps.Copy(n.transport.Controls, s.Controls())
}

// Serve implements call.Server. The node that got a keyed request from a caller
// records answers and refusals of the owner that involved no send.
func (s *shards) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	answer, err := s.Controller.Serve(ctx, r)
	if r.Keyed() && r.Epoch == 0 {
		s.recordKeyed(r, answer, err)
	}
	return answer, err
}

// start sets the identity of this process. It is separate from assemble because the
// incarnation is set only when the membership starts.
func (s *shards) start(self member.Ref) { s.records.Self = shardRef(self) }

func (s *shards) tick(now time.Time) {
	if now.Sub(s.lastTick) >= shardInterval {
		s.lastTick = now
		s.Tick(now)
	}
}

// peerCalls answers requests from other nodes: as the owner of a key, or for
// the backend server beside this node.
type peerCalls struct {
	shards      *shards
	serverProxy *serverProxy
}

// Serve implements call.Server.
func (p peerCalls) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	if r.Epoch != 0 {
		return p.shards.Serve(ctx, r)
	}
	return p.serverProxy.Serve(ctx, r)
}

func shardRef(r member.Ref) once.Ref { return once.Ref{ID: r.ID, Incarnation: r.Incarnation} }

// shardMembers adapts the membership for the shards.
type shardMembers struct{ *membership }

// Status implements once.View.
func (m shardMembers) Status(r once.Ref) once.Status {
	known, ok := m.protocol.Table().Get(r.ID)
	switch {
	case !ok:
		return once.Dead
	case known.Incarnation > r.Incarnation:
		return once.Replaced
	case known.Incarnation < r.Incarnation || known.State == member.StateDead || known.State == member.StateUnreachable:
		return once.Dead
	case known.Announced == member.StateLeaving:
		return once.Leaving
	default:
		return once.Alive
	}
}

// Members implements once.View.
func (m shardMembers) Members() []once.Member {
	known := m.protocol.Table().Members()
	all := make([]once.Member, 0, len(known))
	for _, k := range known {
		if k.Announced != member.StateLeaving && (k.State == member.StateAlive || k.State == member.StateDraining) {
			all = append(all, once.Member{Ref: shardRef(k.Ref), Region: k.Region, Domain: k.Domain})
		}
	}
	return all
}

// Peer implements owner.Members.
func (m shardMembers) Peer(r once.Ref) (node.Peer, bool) {
	known, ok := m.protocol.Table().Get(r.ID)
	return peerOf(known), ok && known.Incarnation == r.Incarnation
}

// shardRows stores the shard maps in the table service.
type shardRows struct{ table.Client }

// Get implements owner.Table.
func (t shardRows) Get(ctx context.Context, key string) (value []byte, etag string, err error) {
	row, err := t.Client.Get(ctx, key)
	if fault.Is(err, fault.KindNotFound) {
		return nil, "", nil
	}
	return row.Value, row.Tag, err
}

// CompareAndSwap implements owner.Table.
func (t shardRows) CompareAndSwap(ctx context.Context, key, etag string, value []byte) (string, error) {
	return t.Swap(ctx, key, etag, value)
}

// shardView lists and resets shards for operators.
type shardView struct{ *Node }

// Shards implements operator.Shards. It lists the shards that this node holds.
func (v shardView) Shards(_ context.Context, service string) ([]operator.Shard, error) {
	services := []string{service}
	if service == "" {
		services = v.routes.Services()
	}
	var all []operator.Shard
	for _, name := range services {
		for i := range once.Shards {
			s, holds := v.shards.records.Shard(name, i)
			if !holds {
				continue
			}
			all = append(all, operator.Shard{
				Service: name, Index: i, Epoch: s.Epoch, Owner: s.Owner.ID, Backup: s.Backup.ID, State: "held",
			})
		}
	}
	return all, nil
}

// Reset implements operator.Shards.
func (v shardView) Reset(ctx context.Context, service string, index int, o operator.AuditInfo) error {
	v.Log.WithField("service", service).WithField("shard", index).WithField("by", o.Author).
		WithField("reason", o.Reason).Warn("shard reset")
	return v.shards.Reset(ctx, service, index, xxhash.Sum64String(o.ID))
}
