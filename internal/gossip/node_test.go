package gossip_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/gossip"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/member"
)

var _ gossip.Conn = (*node.Transport)(nil)

func addrPort(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// Guards against joins and leaves that depend on the table service: whether it is up or
// down, all members must accept a new member, and reject a leaving one, within 3 s.
func TestJoinAndLeaveWithTableUpAndDown(t *testing.T) {
	for size, count := range map[string]int{"10 nodes": 10, "30 nodes": 30, "100 nodes": 100} {
		for name, down := range map[string]bool{"table up": false, "table down": true} {
			t.Run(size+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { joinAndLeave(t, count, down) })
			})
		}
	}
}

func joinAndLeave(t *testing.T, count int, down bool) {
	h, r := new(hub), &rows{down: down}
	var all []*instance
	defer func() {
		for _, i := range all {
			i.shutdown()
		}
	}()
	for n := range count {
		all = append(all, launch(t, h, r, n, "10.0.0.1:7000"))
	}
	time.Sleep(40 * time.Second) // 100 nodes that start at once through one seed
	assertAccepts(t, all, "node-0", true)

	late := launch(t, h, r, count, "10.0.0.1:7000")
	all = append(all, late)
	time.Sleep(3 * time.Second)
	assertAccepts(t, all, late.Protocol.Local().ID, true)
	time.Sleep(5 * time.Second)
	assert.Equal(t, late.Protocol.Table().Len(), count+1, "the new member does not have all members")

	late.left.Store(true)
	late.Leave(time.Now())
	err := late.announcer.Leave(t.Context(), time.Now())
	assert.Equal(t, err != nil, down)
	time.Sleep(3 * time.Second)
	assertAccepts(t, all, late.Protocol.Local().ID, false)
}

func assertAccepts(t *testing.T, all []*instance, id string, want bool) {
	t.Helper()
	for _, i := range all {
		m, ok := i.Protocol.Table().Get(id)
		assert.Equal(t, ok && m.Accepts(), want, "%s at %s", id, i.Protocol.Local().ID)
	}
}

// Guards against a row that is not refreshed, a row that is never written after an
// outage of the table service, and a stale row whose incarnation the restarted member
// reuses.
func TestMemberRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, r := new(hub), &rows{down: true}
		first := launch(t, h, r, 0)
		defer first.shutdown()
		time.Sleep(time.Minute)
		r.mu.Lock()
		r.down = false
		r.mu.Unlock()
		time.Sleep(20 * time.Second)
		assert.Equal(t, r.count(), 1, "the row is written when the table is back")
		time.Sleep(10*time.Minute + time.Second)
		assert.Equal(t, r.count(), 3, "the row is refreshed every 5 minutes")

		gone := launch(t, h, r, 1)
		gone.shutdown()
		time.Sleep(15 * time.Minute)
		again := launch(t, h, r, 1)
		defer again.shutdown()
		late := launch(t, h, r, 2)
		defer late.shutdown()
		time.Sleep(time.Second)
		assert.Assert(t, again.Protocol.Local().Incarnation > gone.Protocol.Local().Incarnation)
		assertAccepts(t, []*instance{first, again, late}, "node-1", true)
	})
}

// Guards against a failed Leave that promises a write that nobody does.
func TestOnlyRefreshPromisesAnotherWrite(t *testing.T) {
	n := &gossip.Node{Protocol: &member.Protocol{Self: member.Member{Ref: member.Ref{ID: "n", Incarnation: 1}}}}
	for name, c := range map[string]struct {
		write    func(a *gossip.Announcer, ctx context.Context, now time.Time) error
		promised bool
	}{
		"join": {(*gossip.Announcer).Join, true}, "refresh": {(*gossip.Announcer).Refresh, true}, "leave": {(*gossip.Announcer).Leave, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := c.write(&gossip.Announcer{Rows: &failingRows{}, Node: n}, t.Context(), time.Now())
			assert.ErrorIs(t, err, errDown)
			assert.Equal(t, strings.Contains(err.Error(), "written again"), c.promised, "%v", err)
		})
	}
}

// failingRows is a table that fails all writes.
type failingRows struct{ rows }

func (*failingRows) Put(context.Context, string, []byte) error { return errDown }

// Guards against a member that died long ago and receives requests because of its row.
func TestStaleRowAddsNoMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, r := new(hub), new(rows)
		gone := launch(t, h, r, 1)
		gone.shutdown()
		time.Sleep(15 * time.Minute)
		late := launch(t, h, r, 2)
		defer late.shutdown()
		assert.Equal(t, late.Protocol.Table().Len(), 1)
	})
}

// Guards against packets from outside the cluster that are accepted, and against
// replayed datagrams that change the table.
func TestForeignAndReplayedPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, r := new(hub), new(rows)
		i := launch(t, h, r, 0)
		defer i.shutdown()
		s := h.open("10.0.9.9:7000")
		msg := member.Message{Kind: member.KindDigest, From: "x", Incarnation: 1, Members: []member.Member{
			member.Member{Ref: member.Ref{ID: "x", Incarnation: 1}}.WithAddr("10.0.9.9:7000").WithRegion("region-0"),
		}}
		own := sealer(t, secret).Seal(msg.Encode())
		assert.Equal(t, own[0]&0xc0, byte(0), "QUIC would accept this packet")
		packets := [][]byte{
			sealer(t, []byte("another cluster's secret")).Seal(msg.Encode()),
			{},
			{1},
			own[:len(own)-1],
			append([]byte{0x02}, own[1:]...), own, own,
		}
		for _, p := range packets {
			_, err := s.WriteDatagram(p, net.UDPAddrFromAddrPort(addrPort("10.0.0.1:7000")))
			assert.NilError(t, err)
		}
		synctest.Wait()
		stats := i.Stats()
		assert.Equal(t, stats.Unauthenticated, uint64(5))
		assert.Equal(t, stats.Received, uint64(2))
		assert.Equal(t, i.Protocol.Table().Len(), 2)
		added := 0
		for _, e := range i.events {
			if e.Kind == member.EventAdded && e.Member.ID == "x" {
				added++
			}
		}
		assert.Equal(t, added, 1)
	})
}

// local is a budget that allows no datagrams between regions.
type local struct{}

func (local) Allow(l gossip.Link, _ member.Class, _ int, _ time.Time) bool { return l.From == l.To }

// Guards against datagrams that are sent although the budget does not allow them.
func TestBudgetIsEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, r := new(hub), new(rows)
		first := launch(t, h, r, 0)
		defer first.shutdown()
		time.Sleep(time.Second)
		h.mu.Lock()
		first.Budget = local{}
		h.mu.Unlock()
		other := launch(t, h, r, 1) // in the other region
		defer other.shutdown()
		time.Sleep(5 * time.Second)
		assert.Equal(t, first.Stats().Sent, uint64(0))
		assert.Assert(t, first.Stats().Denied > 0)
	})
}

// Guards against input from a peer or an attacker on which decoding panics.
func FuzzDatagram(f *testing.F) {
	s, err := gossip.NewSealer(secret)
	assert.NilError(f, err)
	msg := member.Message{
		Kind: member.KindSync, From: "a", Incarnation: 1, Digest: make([]byte, 4*member.Buckets), Dead: make([]byte, 9),
		LastContacts: []member.LastContact{{Region: "x", Millis: 1}}, Members: []member.Member{{Ref: member.Ref{ID: "a", Incarnation: 1}}},
		StateUpdates: []member.StateUpdate{{Ref: member.Ref{ID: "b", Incarnation: 2}, State: member.StateDead}},
	}
	f.Add(msg.Encode())
	f.Add(s.Seal(msg.Encode()))
	f.Add([]byte{0x81, 0xa1, 'm', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = s.Open(data)
		opened, err := s.Open(s.Seal(data))
		assert.NilError(t, err)
		assert.Equal(t, string(opened), string(data))
		p := &member.Protocol{Self: member.Member{Ref: member.Ref{ID: "b", Incarnation: 1}}.WithAddr("10.0.0.1:1")}
		now := time.Unix(1, 0)
		_, _ = p.Receive(now, data, "10.0.0.2:1")
		for range 10 {
			now = now.Add(member.Interval)
			for _, packet := range p.Tick(now) {
				assert.Assert(t, len(packet.Payload) <= member.MaxPayload)
			}
		}
	})
}

// Guards against a goroutine that goes on reading after Stop.
func TestStopEndsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &gossip.Node{Conn: new(hub).open("10.0.0.1:1"), Protocol: new(member.Protocol), Sealer: sealer(t, secret)}
		n.Stop()
		n.Start(context.Background())
		n.Stop()
	})
}
