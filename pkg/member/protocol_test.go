package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/member"
)

var sizes = map[string]int{"10 nodes": 10, "30 nodes": 30, "100 nodes": 100}

const promise = 3 * time.Second

// Guards against news that spreads too slowly or only with the table: a new
// member gets work, and a dead or leaving one loses it, within 3 s.
func TestChangesReachAllWithinThreeSeconds(t *testing.T) {
	changes := map[string]func(n *network, table bool) (id string, done func(member.Member, bool) bool){
		"join": func(n *network, table bool) (string, func(member.Member, bool) bool) {
			m := n.record(len(n.hosts), 3)
			h := n.start(m, n.hosts[0].addr, n.hosts[1].addr)
			if table {
				h.AddMembers(n.now, n.hosts[0].Table().Members())
			}
			return m.ID, accepting
		},
		"leave": func(n *network, _ bool) (string, func(member.Member, bool) bool) {
			h := n.hosts[3]
			n.send(h, h.Leave(n.now))
			return h.Local().ID, notAccepting
		},
		"drain": func(n *network, _ bool) (string, func(member.Member, bool) bool) {
			h := n.hosts[3]
			n.send(h, h.Update(n.now, func(m member.Member) member.Member { return m.WithState(member.StateDraining) }))
			return h.Local().ID, notAccepting
		},
		"crash": func(n *network, _ bool) (string, func(member.Member, bool) bool) {
			n.hosts[3].down = true
			return n.hosts[3].Local().ID, notAccepting
		},
	}
	for name, change := range changes {
		for size, count := range sizes {
			for table, up := range map[string]bool{"table up": true, "table down": false} {
				t.Run(name+"/"+size+"/"+table, func(t *testing.T) {
					n := cluster(seed(t), count, 3)
					id, done := change(n, up)
					took, ok := n.until(promise, func() bool { return n.everywhere(id, done) })
					assert.Assert(t, ok, "%s of %s not known everywhere after %v", name, id, took)
					t.Logf("known everywhere after %v", took)
				})
			}
		}
	}
}

// Guards against a node that joins through a seed and never learns the others.
func TestSeedTeachesAllMembers(t *testing.T) {
	n := newNetwork(seed(t))
	for i := range 30 {
		n.start(n.record(i, 3), "10.0.0.0:7000")
	}
	took, ok := n.until(10*time.Second, n.complete)
	assert.Assert(t, ok, "tables differ after %v", took)
	t.Logf("complete after %v", took)
}

// Guards against buckets with more records than one answer carries, whose end
// was never sent: 710 nodes then stopped at 205 members after a join by seed.
func TestSeedTeachesLargeBuckets(t *testing.T) {
	n := newNetwork(seed(t))
	known := n.start(n.record(0, 1))
	var many []member.Member
	for i := range 1500 {
		many = append(many, n.record(10+i, 1).WithRegion("elsewhere").WithSeq(1))
	}
	known.AddMembers(n.now, many)
	late := n.start(n.record(1, 1), known.addr)
	took, ok := n.until(2*time.Minute, func() bool { return late.Table().Len() == 1502 })
	assert.Assert(t, ok, "%d members after %v", late.Table().Len(), took)
	t.Logf("complete after %v", took)
}

// Guards against counting a pause of the process, or a jump of its clock, as
// silence of the others, and against a verdict that outlives the pause.
func TestFrozenProcessReturns(t *testing.T) {
	for name, kept := range map[string]bool{"socket kept packets": true, "packets lost": false} {
		t.Run(name, func(t *testing.T) {
			n := cluster(seed(t), 30, 3)
			h := n.hosts[4]
			id := h.Local().ID
			h.frozen = true
			_, ok := n.until(promise, func() bool { return n.everywhere(id, notAccepting) })
			assert.Assert(t, ok, "the frozen member still gets work")
			n.run(time.Minute)
			if !kept {
				h.inbox = nil
			}
			n.thaw(h)
			took, ok := n.until(time.Second, func() bool {
				assert.Equal(t, h.Table().Len(), len(n.hosts), "the woken member removed others")
				return n.complete()
			})
			assert.Assert(t, ok, "the woken member is not back everywhere")
			t.Logf("back after %v", took)
		})
	}
}

// Guards against timers that follow a jumping clock (F9).
func TestClockJumpEvictsNobody(t *testing.T) {
	for name, jump := range map[string]time.Duration{"forward": 5 * time.Hour, "back": -5 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			n := cluster(seed(t), 30, 3)
			n.hosts[2].skew = jump
			for range 50 {
				n.run(100 * time.Millisecond)
				assert.Assert(t, n.complete(), "a member was removed after the jump")
			}
		})
	}
}

// Guards against an old run that hides its successor: a host that was replaced
// under the same ID and address wins by its incarnation, also when its wall
// clock was set back, and the old process learns that it was replaced.
func TestReplacedHostWins(t *testing.T) {
	for name, back := range map[string]time.Duration{"clock right": 0, "clock set back": time.Hour} {
		t.Run(name, func(t *testing.T) {
			n := cluster(seed(t), 30, 3)
			old := n.hosts[5]
			m := old.Local().WithSeq(0).WithIncarnation(member.NextIncarnation(0, n.now.Add(-back)))
			h := n.start(m, n.hosts[0].addr)
			wins := func(m member.Member, known bool) bool { return accepting(m, known) && m.Ref == h.Local().Ref }
			took, ok := n.until(promise, func() bool { return n.everywhere(m.ID, wins) })
			assert.Assert(t, ok, "the new run is not known everywhere after %v", took)

			old.down = false
			old.addr = "10.9.9.9:7000"
			n.byAddr[old.addr] = old
			n.run(5 * time.Second)
			_, replaced := old.Replaced()
			assert.Assert(t, replaced, "the old run does not know that it was replaced")
			old.down = true
			assert.Assert(t, n.everywhere(m.ID, wins))
		})
	}
}

// Guards against a row of a member that was replaced by another ID: when the
// successor is dead too, a node that reads the row would keep the old one.
func TestOldRowOfReplacedMember(t *testing.T) {
	n := cluster(seed(t), 10, 2)
	rows := n.hosts[0].Table().Members()
	m := n.hosts[3].Local().WithIncarnation(n.hosts[3].Local().Incarnation + 1)
	m.ID = "successor"
	n.start(m, n.hosts[0].addr)
	n.run(promise)
	n.byAddr[m.Addr].down = true
	n.run(promise)
	n.start(n.record(10, 2)).AddMembers(n.now, rows)
	took, ok := n.until(promise, n.complete)
	assert.Assert(t, ok, "the old member is still known after %v", took)
}

// Guards against members behind a row of dead ones on the ring, and against
// news that stays in its region or needs more bytes than the budget has, when a
// quarter of all nodes stops at once.
func TestLostDomainIsKnownSoon(t *testing.T) {
	cases := map[string]struct {
		size  int
		extra uint64 // added to the seed
	}{
		"100 nodes, first":  {100, 0},
		"100 nodes, second": {100, 1},
		"100 nodes, third":  {100, 2},
		"100 nodes, fourth": {100, 3},
		"100 nodes, sixth":  {100, 5},
		"target":            {target, 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n := cluster(seed(t)+tc.extra, tc.size, 2)
			since := n.ms
			took := time.Duration(n.loseDomain() * float64(time.Second))
			assert.Assert(t, took <= promise, "known everywhere after %v", took)
			for _, h := range n.hosts {
				assert.Assert(t, h.down || h.sent.peak(since) <= 9000, "%s sent %d bytes in a second", h.Local().ID, h.sent.peak(since))
			}
			t.Logf("known everywhere after %v", took)
		})
	}
}

// Guards against a verdict on a whole failure domain, whose members share a
// switch or a host, before each of them was silent for as long as a single one
// may be.
func TestShortSilenceOfDomainEvictsNobody(t *testing.T) {
	lost := func(h *host) bool { m := h.Local(); return m.Region == "region-0" && m.Domain == "domain-0" }
	changes := map[string]func(n *network, silent bool){
		"cut off": func(n *network, silent bool) {
			n.cut = func(a, b *host) bool { return silent && lost(a) != lost(b) }
		},
		"paused": func(n *network, silent bool) {
			for _, h := range n.hosts {
				if lost(h) {
					h.frozen = silent
				}
			}
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			n := cluster(seed(t), 100, 2)
			for range 5 {
				change(n, true)
				n.run(1200 * time.Millisecond)
				change(n, false)
				for range 30 {
					n.run(100 * time.Millisecond)
					for _, h := range n.hosts {
						assert.Equal(t, h.Table().Len(), len(n.hosts), "%s removed a member", h.Local().ID)
					}
				}
			}
		})
	}
}

// Guards against short marks that name a live member, and against more deaths
// than fit into one message: of 2,000 members of one failure domain more than
// 200 share their marks with another.
func TestSharedMarksNameNobodyElse(t *testing.T) {
	n := newNetwork(seed(t))
	var many []member.Member
	var verdicts []member.StateUpdate
	for i := range 2000 {
		m := n.record(2+i, 1).WithRegion("elsewhere").WithDomain("crowded").WithSeq(1)
		many = append(many, m)
		if i%2 == 0 {
			verdicts = append(verdicts, member.StateUpdate{Ref: m.Ref, Seq: m.Seq, State: member.StateDead})
		}
	}
	from, to := n.start(n.record(0, 1)), n.start(n.record(1, 1))
	from.AddMembers(n.now, many)
	to.AddMembers(n.now, many)
	for _, part := range [][]member.StateUpdate{verdicts[:500], verdicts[500:]} {
		for i := 0; i < len(part); i += 20 {
			msg := member.Message{Kind: member.KindUpdate, From: "x", Incarnation: 1, StateUpdates: part[i : i+20]}
			_, err := from.Receive(n.now, msg.Encode(), "10.9.9.9:7000")
			assert.NilError(t, err)
		}
		for range 200 {
			n.now = n.now.Add(member.Interval)
			for _, p := range from.Tick(n.now) {
				answers, err := to.Receive(n.now, p.Payload, from.addr)
				assert.NilError(t, err)
				for _, a := range answers {
					_, err := from.Receive(n.now, a.Payload, to.addr)
					assert.NilError(t, err)
				}
			}
		}
	}
	for _, v := range verdicts {
		_, known := to.Table().Get(v.ID)
		assert.Assert(t, !known, "the death of %s was not told", v.ID)
	}
	for _, m := range from.Table().Members() {
		_, known := to.Table().Get(m.ID)
		assert.Assert(t, known || m.ID == to.Local().ID, "%s is alive and was removed", m.ID)
	}
}

// Guards against members that are forgotten or declared dead because a link is
// cut, and against a burst of traffic when it comes back.
func TestCutRegionGoesOnAndRejoins(t *testing.T) {
	for name, size := range map[string]int{"6 nodes": 6, "60 nodes": 60} {
		t.Run(name, func(t *testing.T) { cutAndRejoin(t, size) })
	}
}

func cutAndRejoin(t *testing.T, size int) {
	n := cluster(seed(t), size, 3)
	n.cut = func(a, b *host) bool { return (a.region == "region-0") != (b.region == "region-0") }
	n.run(5 * time.Second)
	inside := n.hosts[0].Table().Members()
	assert.Equal(t, len(inside), size, "members were forgotten")
	for _, m := range inside {
		want := m.Region == "region-0"
		assert.Equal(t, m.Accepts(), want, "%s is %s", m.ID, m.State)
	}
	n.run(3 * time.Minute)
	since := n.ms
	n.hosts[1].down = true // in another region
	for _, h := range n.hosts {
		if h.region == "region-0" {
			n.send(h, h.Update(n.now, func(m member.Member) member.Member { return m.WithSlots(24) }))
		}
	}
	n.run(10 * time.Second)

	n.cut = func(_, _ *host) bool { return false }
	took, ok := n.until(10*time.Second, func() bool { return n.complete() && n.slots("region-0", 24) })
	assert.Assert(t, ok, "tables differ %v after the link came back", took)
	t.Logf("complete after %v", took)
	n.run(10 * time.Second)
	for _, h := range n.hosts {
		assert.Assert(t, h.sent.peak(since) <= 9000, "%s sent %d bytes in a second", h.Local().ID, h.sent.peak(since))
	}
	t.Logf("link peak %d bytes/s", n.link.peak(since))
}

// Guards against a death during a cut that a small region learns only at the
// next regular comparison, up to half a minute after the link came back.
func TestRejoinComparesTables(t *testing.T) {
	for extra := range uint64(5) {
		n := cluster(seed(t)+extra, 12, 3)
		n.cut = func(a, b *host) bool { return (a.region == "region-0") != (b.region == "region-0") }
		n.run(30 * time.Second)
		n.hosts[1].down = true // in another region
		n.run(10 * time.Second)
		n.cut = func(_, _ *host) bool { return false }
		took, ok := n.until(promise, n.complete)
		assert.Assert(t, ok, "tables differ %v after the link came back, seed %d more", took, extra)
	}
}

// Guards against halves of one region that declared each other dead and, having
// no members in common, never speak again.
func TestSplitRegionHeals(t *testing.T) {
	n := cluster(seed(t), 20, 1)
	half := func(h *host) bool { return h.Local().Domain == "domain-0" }
	n.cut = func(a, b *host) bool { return half(a) != half(b) }
	n.run(time.Minute)
	assert.Equal(t, n.hosts[0].Table().Len(), 10, "the other half gets work")
	n.cut = func(_, _ *host) bool { return false }
	// Dead members are pinged every 5 s; one more second spreads the answers.
	took, ok := n.until(6*time.Second, n.complete)
	assert.Assert(t, ok, "the halves have not found each other after %v", took)
	t.Logf("complete after %v", took)
}

// Guards against false verdicts that stay: with 15 % loss every live member is
// in all tables again.
func TestLossDeclaresNobodyDeadForGood(t *testing.T) {
	n := cluster(seed(t), 50, 3)
	n.loss = 0.15
	missing := 0
	for range 600 {
		n.run(100 * time.Millisecond)
		for _, h := range n.hosts {
			missing += len(n.hosts) - h.Table().Len()
		}
	}
	took, ok := n.until(10*time.Second, n.complete)
	assert.Assert(t, ok, "a live member is missing after %v", took)
	t.Logf("member was missing in %d of %d views over 60 s, complete after %v", missing, 600*50*50, took)
}
