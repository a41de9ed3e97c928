package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/member"
)

var sizes = map[string]int{"10 nodes": 10, "30 nodes": 30, "100 nodes": 100}

const detectionLimit = 3 * time.Second

// Guards against updates that spread too slowly, or only while the table service is
// up: within 3 s all nodes must send requests to a new member, and none to a dead,
// draining or leaving one.
func TestChangesReachAllMembersInTime(t *testing.T) {
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
					took, ok := n.until(detectionLimit, func() bool { return n.everywhere(id, done) })
					assert.Assert(t, ok, "%s of %s did not reach all members within %v", name, id, took)
					t.Logf("known to all members after %v", took)
				})
			}
		}
	}
}

// Guards against a node that joins through a seed and never receives all members.
func TestJoinThroughSeed(t *testing.T) {
	n := newNetwork(seed(t))
	for i := range 30 {
		n.start(n.record(i, 3), "10.0.0.0:7000")
	}
	took, ok := n.until(10*time.Second, n.complete)
	assert.Assert(t, ok, "tables differ after %v", took)
	t.Logf("complete after %v", took)
}

// Guards against buckets with more records than one reply carries, of which only the
// first ones are ever sent: of 710 nodes, those that joined through a seed then had
// 205 members only.
func TestJoinWithLargeBuckets(t *testing.T) {
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

// Guards against a frozen process that declares others dead after the pause because
// it counts the pause as time without acknowledgements, and against one that stays
// dead in the view of others.
func TestFrozenProcessRejoins(t *testing.T) {
	for name, kept := range map[string]bool{"socket kept packets": true, "packets lost": false} {
		t.Run(name, func(t *testing.T) {
			n := cluster(seed(t), 30, 3)
			h := n.hosts[4]
			id := h.Local().ID
			h.frozen = true
			_, ok := n.until(detectionLimit, func() bool { return n.everywhere(id, notAccepting) })
			assert.Assert(t, ok, "the frozen member still receives requests")
			n.run(time.Minute)
			if !kept {
				h.inbox = nil
			}
			n.resume(h)
			took, ok := n.until(time.Second, func() bool {
				assert.Equal(t, h.Table().Len(), len(n.hosts), "the resumed member removed others")
				return n.complete()
			})
			assert.Assert(t, ok, "the resumed member is not in all tables")
			t.Logf("back after %v", took)
		})
	}
}

// Guards against members that are declared dead or removed because the clock of a
// node jumps (F9).
func TestClockJumpRemovesNoMember(t *testing.T) {
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

// Guards against an old run that hides the new one. The run with the same ID and
// address and a newer incarnation must replace the old one, also if its wall clock
// was set back, and the old process must detect that it was replaced.
func TestNewIncarnationReplacesOld(t *testing.T) {
	for name, back := range map[string]time.Duration{"clock right": 0, "clock set back": time.Hour} {
		t.Run(name, func(t *testing.T) {
			n := cluster(seed(t), 30, 3)
			old := n.hosts[5]
			m := old.Local().WithSeq(0).WithIncarnation(member.NextIncarnation(0, n.now.Add(-back)))
			h := n.start(m, n.hosts[0].addr)
			wins := func(m member.Member, known bool) bool { return accepting(m, known) && m.Ref == h.Local().Ref }
			took, ok := n.until(detectionLimit, func() bool { return n.everywhere(m.ID, wins) })
			assert.Assert(t, ok, "the new run is not known to all members after %v", took)

			old.down = false
			old.addr = "10.9.9.9:7000"
			n.byAddr[old.addr] = old
			n.run(5 * time.Second)
			_, replaced := old.Replaced()
			assert.Assert(t, replaced, "the old run did not detect that it was replaced")
			old.down = true
			assert.Assert(t, n.everywhere(m.ID, wins))
		})
	}
}

// Guards against the row of a member that was replaced by one with another ID: a node
// that reads the row after the second one is dead too would keep the first one.
func TestStaleRowOfReplacedMember(t *testing.T) {
	n := cluster(seed(t), 10, 2)
	rows := n.hosts[0].Table().Members()
	m := n.hosts[3].Local().WithIncarnation(n.hosts[3].Local().Incarnation + 1)
	m.ID = "successor"
	n.start(m, n.hosts[0].addr)
	n.run(detectionLimit)
	n.byAddr[m.Addr].down = true
	n.run(detectionLimit)
	n.start(n.record(10, 2)).AddMembers(n.now, rows)
	took, ok := n.until(detectionLimit, n.complete)
	assert.Assert(t, ok, "the old member is still known after %v", took)
}

// Guards against three faults when a quarter of all nodes stops at once: members that
// follow several dead ones on the ring are detected late, updates do not reach the
// other region, and updates need more than the send budget.
func TestDomainFailureDetectionTime(t *testing.T) {
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
			took := time.Duration(n.failDomain() * float64(time.Second))
			assert.Assert(t, took <= detectionLimit, "known to all members after %v", took)
			for _, h := range n.hosts {
				assert.Assert(t, h.down || h.sent.peak(since) <= 9000, "%s sent %d bytes in a second", h.Local().ID, h.sent.peak(since))
			}
			t.Logf("known to all members after %v", took)
		})
	}
}

// Guards against members of a failure domain that are declared dead after a shorter
// silence than a single member. They share a switch or a host, so that all of them
// are silent at the same time.
func TestShortDomainOutageRemovesNoMember(t *testing.T) {
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

// Guards against short fingerprints that match a live member, and against more dead
// members than fit into one message. Of 2,000 members of one failure domain, more
// than 200 share their short fingerprint with another one.
func TestFingerprintCollisionRemovesNoMember(t *testing.T) {
	n := newNetwork(seed(t))
	var many []member.Member
	var dead []member.StateUpdate
	for i := range 2000 {
		m := n.record(2+i, 1).WithRegion("elsewhere").WithDomain("crowded").WithSeq(1)
		many = append(many, m)
		if i%2 == 0 {
			dead = append(dead, member.StateUpdate{Ref: m.Ref, Seq: m.Seq, State: member.StateDead})
		}
	}
	from, to := n.start(n.record(0, 1)), n.start(n.record(1, 1))
	from.AddMembers(n.now, many)
	to.AddMembers(n.now, many)
	for _, part := range [][]member.StateUpdate{dead[:500], dead[500:]} {
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
	for _, v := range dead {
		_, known := to.Table().Get(v.ID)
		assert.Assert(t, !known, "the death of %s was not reported", v.ID)
	}
	for _, m := range from.Table().Members() {
		_, known := to.Table().Get(m.ID)
		assert.Assert(t, known || m.ID == to.Local().ID, "%s is alive but was removed", m.ID)
	}
}

// Guards against members that are removed or declared dead because a link between
// regions failed, and against a burst of traffic when it works again.
func TestPartitionedRegionRejoins(t *testing.T) {
	for name, size := range map[string]int{"6 nodes": 6, "60 nodes": 60} {
		t.Run(name, func(t *testing.T) { cutAndRejoin(t, size) })
	}
}

func cutAndRejoin(t *testing.T, size int) {
	n := cluster(seed(t), size, 3)
	n.cut = func(a, b *host) bool { return (a.region == "region-0") != (b.region == "region-0") }
	n.run(5 * time.Second)
	inside := n.hosts[0].Table().Members()
	assert.Equal(t, len(inside), size, "members were removed")
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

// Guards against a small region that receives the death of a member during a
// partition only with the next regular comparison, up to 30 s after the partition
// ended.
func TestRejoinComparesTables(t *testing.T) {
	for extra := range uint64(5) {
		n := cluster(seed(t)+extra, 12, 3)
		n.cut = func(a, b *host) bool { return (a.region == "region-0") != (b.region == "region-0") }
		n.run(30 * time.Second)
		n.hosts[1].down = true // in another region
		n.run(10 * time.Second)
		n.cut = func(_, _ *host) bool { return false }
		took, ok := n.until(detectionLimit, n.complete)
		assert.Assert(t, ok, "tables differ %v after the link came back, with %d added to the seed", took, extra)
	}
}

// Guards against a permanent partition inside a region: the halves declared each
// other's members dead and then no longer ping them.
func TestPartitionInsideRegionHeals(t *testing.T) {
	n := cluster(seed(t), 20, 1)
	half := func(h *host) bool { return h.Local().Domain == "domain-0" }
	n.cut = func(a, b *host) bool { return half(a) != half(b) }
	n.run(time.Minute)
	assert.Equal(t, n.hosts[0].Table().Len(), 10, "members of the other half were not removed")
	n.cut = func(_, _ *host) bool { return false }
	// Dead members are pinged every 5 s, and refutations spread in one more second.
	took, ok := n.until(6*time.Second, n.complete)
	assert.Assert(t, ok, "the tables differ %v after the partition ended", took)
	t.Logf("complete after %v", took)
}

// Guards against live members that stay dead: with 15 % packet loss, members that were
// declared dead wrongly must be in all tables again.
func TestPacketLossRemovesNoMemberPermanently(t *testing.T) {
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
