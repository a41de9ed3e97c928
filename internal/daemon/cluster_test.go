package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/standin/server"
	"github.com/vanillasail/vanillasail/internal/standin/store"
)

// cluster is a set of nodes with a stand-in server each, in one process.
type cluster struct {
	store   store.Server
	nodes   []*Node
	servers []*server.Server
	client  http.Client
	// authority issues the certificates of the nodes.
	authority *node.Authority
	// configure changes a node after it was assembled and before it runs.
	configure func(n *Node)
}

func startCluster(t *testing.T, size int) *cluster {
	t.Helper()
	return startClusterWith(t, size, func(*Node) {})
}

// startClusterWith starts a cluster and calls configure on each node before it runs.
func startClusterWith(t *testing.T, size int, configure func(n *Node)) *cluster {
	t.Helper()
	authority, err := node.NewAuthority("test", time.Hour)
	assert.NilError(t, err)
	c := &cluster{configure: configure, authority: authority}
	assert.NilError(t, c.store.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = c.store.Stop(context.Background()) })
	for i := range size {
		c.nodes = append(c.nodes, c.startNode(t, i))
	}
	for _, n := range c.nodes {
		s := &server.Server{Service: "stock", Slots: 12, Announce: n.AnnounceAddr(), Entry: n.CallerAddr()}
		assert.NilError(t, s.Start("127.0.0.1:0"))
		t.Cleanup(s.Kill)
		c.servers = append(c.servers, s)
	}
	for i := range c.nodes {
		c.awaitServers(t, i, size)
	}
	return c
}

func (c *cluster) startNode(t *testing.T, i int) *Node {
	t.Helper()
	cert, key, err := c.authority.Issue(fmt.Sprintf("n%d", i), time.Hour)
	assert.NilError(t, err)
	credentials := &node.Credentials{}
	assert.NilError(t, credentials.Replace(cert, key, c.authority.CertPEM))
	n := &Node{Options: Options{
		ID: fmt.Sprintf("n%d", i), Region: "poa", Domain: fmt.Sprintf("d%d", i%2),
		Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Announce: "127.0.0.1:0", Operator: "127.0.0.1:0",
		TokenSecret: "an operator secret of at least 32 characters",
		Secret:      "a secret of the test cluster", Table: c.store.URL(), Object: c.store.URL(),
		Credentials: credentials, Notice: 50 * time.Millisecond,
		Log: &log.Logger{Handler: discard.Default},
	}}
	n.Options = n.withDefaults()
	assert.NilError(t, n.assemble())
	c.configure(n)
	assert.NilError(t, n.run())
	t.Cleanup(n.Kill)
	return n
}

// restart kills nodes and starts them again with their names and addresses. Their servers
// go on running.
func (c *cluster) restart(t *testing.T, indexes ...int) {
	t.Helper()
	configure := c.configure
	defer func() { c.configure = configure }()
	for _, i := range indexes {
		c.nodes[i].Kill()
	}
	for _, i := range indexes {
		old := c.nodes[i]
		c.configure = func(n *Node) {
			configure(n)
			n.Announce, n.Caller = old.AnnounceAddr(), old.CallerAddr()
		}
		c.nodes[i] = c.startNode(t, i)
	}
}

func (c *cluster) awaitServers(t *testing.T, i, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !c.nodes[i].config.Ready() {
			return poll.Continue("node %d has no configuration", i)
		}
		if got := len(c.nodes[i].routes.Snapshot("stock")); got != want {
			return poll.Continue("node %d knows %d of %d servers", i, got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

// awaitAnswer waits until requests through a node are answered by a server.
func (c *cluster) awaitAnswer(t *testing.T, i int, uri string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, text, err := c.call(context.Background(), i, http.MethodGet, uri, nil, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			return poll.Continue("node %d does not answer: %v %s", i, err, text)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

// call sends one request through node i and returns status and body.
func (c *cluster) call(ctx context.Context, i int, method, uri string, header http.Header, body io.Reader) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[i].CallerAddr()+uri, body)
	if err != nil {
		return nil, "", err
	}
	if header != nil {
		request.Header = header
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}
