package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/daemon"
	"github.com/vanillasail/vanillasail/internal/demo"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/standin/server"
	"github.com/vanillasail/vanillasail/internal/standin/store"
)

const (
	benchTime  = 2 * time.Second
	benchRate  = 40
	benchNodes = 4
	chainDepth = 10
	// idleTicks is the length of one window of the measurement of idle nodes, in ticks
	// of 20 ms. The median of three windows excludes the activity after a node has
	// joined.
	idleTicks   = 100
	idleWindows = 3
	tick        = 20 * time.Millisecond
)

// BenchmarkCall measures the processor time of the process per call. It includes both
// nodes, the stand-in server and the HTTP client of the caller.
func BenchmarkCall(b *testing.B) {
	b.Run("hop", func(b *testing.B) {
		report(b, "µs/hop", []int{1, 4, 7, 10}, func(b *testing.B, depth int) float64 {
			return bench(b, benchRate, depth) / (benchRate * benchTime.Seconds())
		})
	})
	b.Run("chain", func(b *testing.B) {
		// A round is a direct request, a call over one hop and a chain of ten hops.
		report(b, "µs/round", []int{10, 20, 40, 80}, func(b *testing.B, rate int) float64 {
			return bench(b, rate, chainDepth) / benchTime.Seconds()
		})
	})
	b.Run("direct", func(b *testing.B) {
		report(b, "µs/request", []int{100, 200, 400, 800}, directRequests)
	})
}

// bench returns the processor time of one run of demo.Bench in µs.
func bench(b *testing.B, rate, depth int) float64 {
	before := processorTime()
	assert.NilError(b, demo.Bench(context.Background(), demo.BenchOptions{
		Nodes: benchNodes, Rate: rate, Time: benchTime, Depth: depth, JSON: true, Out: io.Discard,
	}))
	return float64((processorTime() - before).Microseconds())
}

// directRequests returns the processor time in µs of n requests that are sent to a
// server directly.
func directRequests(b *testing.B, n int) float64 {
	s := &server.Server{Service: "stock", Slots: 12}
	assert.NilError(b, s.Start("127.0.0.1:0"))
	defer s.Kill()
	get(b, s.Addr())
	before := processorTime()
	for range n {
		get(b, s.Addr())
	}
	return float64((processorTime() - before).Microseconds())
}

// BenchmarkIdle measures the memory and processor time of idle nodes, each with a
// stand-in server that announces itself to the node.
func BenchmarkIdle(b *testing.B) {
	b.Run("processor", func(b *testing.B) {
		report(b, "core-%/node", []int{1, 2, 4, 8}, func(b *testing.B, n int) float64 {
			c := startNodes(b, n)
			defer c.kill()
			var shares []float64
			for range idleWindows {
				before, start := processorTime(), time.Now()
				<-time.After(idleTicks * tick)
				shares = append(shares, 100*float64(processorTime()-before)/float64(time.Since(start)))
			}
			slices.Sort(shares)
			return shares[idleWindows/2]
		})
	})
	b.Run("memory", func(b *testing.B) {
		report(b, "B/node", []int{1, 2, 4, 8}, func(b *testing.B, n int) float64 {
			var c *nodes
			defer func() { c.kill() }()
			return memoryGrowth(func() any {
				c = startNodes(b, n)
				return c
			})
		})
	})
}

// nodes holds running nodes, their servers and their store.
type nodes struct {
	store   store.Server
	nodes   []*daemon.Node
	servers []*server.Server
}

func startNodes(b *testing.B, n int) *nodes {
	authority, err := node.NewAuthority("capacity", time.Hour)
	assert.NilError(b, err)
	c := &nodes{}
	assert.NilError(b, c.store.Start("127.0.0.1:0"))
	for i := range n {
		c.start(b, authority, i)
	}
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		for i, d := range c.nodes {
			if got := len(d.Servers("stock")); got != n {
				return poll.Continue("node %d has %d of %d servers in its routing table", i, got, n)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(tick))
	return c
}

func (c *nodes) start(b *testing.B, authority *node.Authority, i int) {
	id := fmt.Sprintf("n%d", i)
	cert, key, err := authority.Issue(id, time.Hour)
	assert.NilError(b, err)
	credentials := &node.Credentials{}
	assert.NilError(b, credentials.Replace(cert, key, authority.CertPEM))
	d := &daemon.Node{Options: daemon.Options{
		ID: id, Region: "poa", Domain: fmt.Sprintf("d%d", i%2),
		Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Announce: "127.0.0.1:0", Operator: "127.0.0.1:0",
		TokenSecret: "an operator secret of at least 32 characters",
		Secret:      "secret of the measured cluster", Table: c.store.URL(), Object: c.store.URL(),
		Credentials: credentials, Log: &log.Logger{Handler: discard.Default},
	}}
	assert.NilError(b, d.Start())
	c.nodes = append(c.nodes, d)
	s := &server.Server{Service: "stock", Slots: 12, Announce: d.AnnounceAddr(), Entry: d.CallerAddr()}
	assert.NilError(b, s.Start("127.0.0.1:0"))
	c.servers = append(c.servers, s)
}

func (c *nodes) kill() {
	for _, s := range c.servers {
		s.Kill()
	}
	for _, d := range c.nodes {
		d.Kill()
	}
	_ = c.store.Stop(context.Background())
}
