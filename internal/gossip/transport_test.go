package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/gossip"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/member"
)

// Guards against membership datagrams that the QUIC transport treats as its own packets
// or does not pass on.
func TestDatagramsShareThePortOfQUIC(t *testing.T) {
	ca, err := node.NewAuthority("test", time.Hour)
	assert.NilError(t, err)
	var nodes []*gossip.Node
	seed := ""
	for i := range 3 {
		id := fmt.Sprintf("node-%d", i)
		cert, key, err := ca.Issue(id, time.Hour)
		assert.NilError(t, err)
		transport := &node.Transport{ID: id, Credentials: new(node.Credentials)}
		assert.NilError(t, transport.Credentials.Replace(cert, key, ca.CertPEM))
		assert.NilError(t, transport.Listen("127.0.0.1:0"))
		own := member.Member{Ref: member.Ref{ID: id, Incarnation: 1}}.WithAddr(transport.Addr())
		n := &gossip.Node{
			Conn: transport, Sealer: sealer(t, secret),
			Protocol: &member.Protocol{Self: own, Seeds: []string{seed}},
		}
		if i == 0 {
			seed = transport.Addr()
			n.Protocol.Seeds = nil
		}
		n.Start(t.Context())
		t.Cleanup(func() {
			n.Stop()
			assert.NilError(t, transport.Close(context.Background()))
		})
		nodes = append(nodes, n)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range nodes {
			n.Tick(time.Now())
		}
		for _, n := range nodes {
			if got := n.Protocol.Table().Len(); got != len(nodes) {
				return poll.Continue("%s knows %d members", n.Protocol.Local().ID, got)
			}
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(20*time.Second))
}
