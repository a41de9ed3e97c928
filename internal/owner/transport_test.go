package owner

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// startTransports connects the nodes of a cluster by transports on loopback.
func startTransports(t testing.TB, c *cluster) {
	t.Helper()
	authority, err := node.NewAuthority("test", time.Hour)
	assert.NilError(t, err)
	for id, n := range c.nodes {
		cert, key, err := authority.Issue(id, time.Hour)
		assert.NilError(t, err)
		tr := &node.Transport{ID: id, Calls: n.Controller, Controls: n.Controls(), MaxBody: 1 << 20, Credentials: &node.Credentials{}}
		assert.NilError(t, tr.Credentials.Replace(cert, key, authority.CertPEM))
		assert.NilError(t, tr.Listen("127.0.0.1:0"))
		n.Network, c.addrs[id] = tr, tr.Addr()
		t.Cleanup(func() { assert.NilError(t, tr.Close(context.Background())) })
	}
	t.Cleanup(c.waitIdle)
}

// TestTransport guards against messages or answers that real transports cannot
// carry: an answer from the owner, its replay through another node, and a
// promotion after the owner's transport is closed.
func TestTransport(t *testing.T) {
	c := newCluster(t, "a1", "b1", "c1")
	startTransports(t, c)
	for _, n := range c.nodes {
		body, answer := n.expect(t, "", request("k"))
		assert.Equal(t, body, "order k, run 1")
		assert.Equal(t, answer.Status, http.StatusCreated)
	}
	s, owner, _, third := c.pair(t, "k")
	c.waitIdle()
	assert.NilError(t, owner.Network.(*node.Transport).Close(t.Context()))
	c.setStatus(s.Owner, once.Replaced)
	for _, n := range c.nodes {
		if n != owner {
			n.Repair(t.Context())
		}
	}
	body, answer := third.expect(t, "", request("k"))
	assert.Equal(t, body, "order k, run 1")
	assert.Assert(t, answer.Replayed)
	assert.Equal(t, c.runs("k"), 1)
}

// BenchmarkClaim measures the latency that a claim over loopback adds to a request.
func BenchmarkClaim(b *testing.B) {
	c := newCluster(b, "a1", "b1", "c1")
	startTransports(b, c)
	m, err := c.nodes["a1"].load(b.Context(), "orders", time.Now())
	assert.NilError(b, err)
	s := m.Shards[0]
	owner := c.nodes[s.Owner.ID]
	_, err = owner.load(b.Context(), "orders", time.Now())
	assert.NilError(b, err)
	assert.NilError(b, owner.transfer(b.Context(), s))
	now, key, times := time.Now(), 0, make([]time.Duration, 0, b.N)
	for b.Loop() {
		now = now.Add(time.Second)
		for key++; once.ShardIndex(scopedKey(call.Request{Key: benchmarkKey(key)})) != 0; {
			key++
		}
		record, verdict := owner.Records.Begin("orders", scopedKey(call.Request{Key: benchmarkKey(key)}), 1, now)
		assert.Equal(b, verdict, once.VerdictNew)
		start := time.Now()
		reply, err := owner.claim(b.Context(), s.Backup, record.Claim)
		times = append(times, time.Since(start))
		assert.NilError(b, err)
		assert.Equal(b, reply.Verdict, once.VerdictAccepted)
		owner.settle(record.Claim, once.OutcomeReleased, nil)
		c.waitIdle() // exclude the settlement message from the measured time
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

func benchmarkKey(i int) string { return time.Duration(i).String() }
