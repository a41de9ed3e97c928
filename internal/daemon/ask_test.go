package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/evidence"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/member"
)

const (
	// linkCap is the cap of connections of a node in the design.
	linkCap = 128
	// spareLinks stay open, so that a small cluster is asked again without
	// handshakes.
	spareLinks = 64
)

// crowd is one node that knows many others, which answer questions and requests.
type crowd struct {
	asking observation
	peers  []node.Peer
	// most is the highest number of links of the asking node while it was asked.
	most int
	mu   sync.Mutex
}

type okServer struct{}

func (okServer) Serve(context.Context, call.Request) (*call.Answer, error) {
	return &call.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func startCrowd(t *testing.T, others int) *crowd {
	t.Helper()
	authority, err := node.NewAuthority("test", time.Hour)
	assert.NilError(t, err)
	cert, key, err := authority.Issue("node", time.Hour)
	assert.NilError(t, err)
	credentials := &node.Credentials{}
	assert.NilError(t, credentials.Replace(cert, key, authority.CertPEM))
	c := &crowd{asking: observation{common: common{&Options{ID: "asking"}}, members: &membership{}}}
	listen := func(id string, controls map[string]node.ControlFunc) *node.Transport {
		tr := &node.Transport{ID: id, Credentials: credentials, Calls: okServer{}, Controls: controls, MaxBody: 1 << 10}
		assert.NilError(t, tr.Listen("127.0.0.1:0"))
		t.Cleanup(func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = tr.Close(ctx)
		})
		return tr
	}
	c.asking.node = listen("asking", nil)
	c.asking.decisions = evidence.Decisions{Node: "asking", Ring: &c.asking.ring, Nodes: patient{&c.asking}}
	for i := range others {
		id := fmt.Sprint("n", i)
		ring := &evidence.Ring{}
		ring.Begin(evidence.Decision{Request: "r", At: time.Now()})
		decisions := evidence.Decisions{Node: id, Ring: ring}
		tr := listen(id, map[string]node.ControlFunc{evidence.KindExplain: func(ctx context.Context, from string, body []byte) ([]byte, error) {
			c.observe(c.asking.node.Links())
			return decisions.Answer(ctx, from, body)
		}})
		m := member.Member{Ref: member.Ref{ID: id, Incarnation: 1}, Addr: tr.Addr(), Region: "poa"}
		c.asking.members.protocol.Table().Merge(m)
		c.peers = append(c.peers, peerOf(m))
	}
	return c
}

// observe returns the highest number of links until now.
func (c *crowd) observe(links int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = max(c.most, links)
	return c.most
}

// patient asks without the deadlines of an explanation, which a busy machine
// may miss.
type patient struct{ *observation }

func (p patient) Ask(ctx context.Context, id, kind string, body []byte) ([]byte, error) {
	return p.observation.Ask(context.WithoutCancel(ctx), id, kind, body)
}

// call sends a request to each of the first n nodes.
func (c *crowd) call(t *testing.T, n int) {
	t.Helper()
	for _, p := range c.peers[:n] {
		answer, err := c.asking.node.Call(t.Context(), p, call.Request{ID: "1"})
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
	}
}

// connected counts the open links to the first n nodes.
func (c *crowd) connected(n int) (open int) {
	for _, p := range c.peers[:n] {
		if c.asking.node.Connected(p) {
			open++
		}
	}
	return open
}

// Guards against an explanation that opens more links than the cap, or closes
// the links of requests, whose next requests then pay handshakes, or leaves its
// own links open beside them.
func TestExplainStaysUnderTheLinkCap(t *testing.T) {
	cases := map[string]struct{ others, called, kept, after int }{
		"few nodes":         {others: 40, kept: 0, after: 40},
		"no requests":       {others: 300, kept: 0, after: 64},
		"links to spare":    {others: 300, called: 124, kept: 124, after: 124},
		"all links in use":  {others: 300, called: 128, kept: 124, after: linkCap},
		"more than the cap": {others: 300, called: 200, kept: 124, after: linkCap},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := startCrowd(t, tc.others)
			c.call(t, tc.called)
			for range 2 {
				found, silent, err := c.asking.decisions.Explain(t.Context(), "r")
				assert.NilError(t, err)
				assert.Equal(t, len(silent), 0, "%v", silent)
				assert.Equal(t, len(found), tc.others)
				most := c.observe(0)
				assert.Assert(t, most <= linkCap, "%d links at once", most)
				assert.Assert(t, c.connected(tc.called) >= tc.kept, "%d of the links of requests are left", c.connected(tc.called))
				assert.Assert(t, c.asking.node.Links() <= tc.after, "%d links are left", c.asking.node.Links())
				assert.Assert(t, c.asking.node.Links() >= min(tc.others, spareLinks), "only %d links are left", c.asking.node.Links())
			}
		})
	}
}
