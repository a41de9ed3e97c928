package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/daemon"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/standin/server"
	"github.com/vanillasail/vanillasail/internal/standin/store"
)

const (
	// memoryLimit is the largest memory that a node of the target may use.
	memoryLimit = 32 * megabyte
	// targetRate is the number of calls per second that callers send to each node:
	// 87,000 / 710.
	targetRate    = 123
	targetCallers = 260
	targetSeconds = 4
)

// Guards against a node of the target that exceeds its memory limit with its whole
// state, all links in both directions, 260 caller connections, and calls from callers
// and from another node at the rate of the target.
func TestMemoryAtTheTarget(t *testing.T) {
	p := startNodePair(t)
	for range 5 { // as often as the benchmarks do, without being refused
		p.openLinks(t)
	}
	callers := [2]*callers{dialCallers(t, p.caller[0], targetCallers), dialCallers(t, p.caller[1], targetCallers)}
	p.control(t, kindAwaitMinGrowth, nil)
	p.control(t, kindReset, nil)
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(func() { c.sendAtRate(targetRate, targetRate*targetSeconds, "/stock/item", nil) })
	}
	wg.Wait()
	u := p.usage(t)
	t.Log(u)
	for _, c := range callers {
		assert.NilError(t, c.err())
	}
	assert.Equal(t, u.Links, targetLinks)
	assert.Assert(t, u.Runtime <= memoryLimit, "the Go runtime held %d bytes", u.Runtime)
	// The race detector multiplies the memory of the process.
	assert.Assert(t, raceDetector || u.Anon <= memoryLimit, "the process held %d bytes of anonymous memory", u.Anon)
}

// nodePair is the measured node in its own process and another one in this process.
// Each has a backend server of the same service, so that half of the calls go to the
// other node. Arrays hold the measured node's value first.
type nodePair struct {
	// addresses holds the addresses of the measured node and of its process.
	addresses
	// caller holds the caller addresses of both nodes.
	caller [2]string
	// links is the other end of the measured node's links.
	links *node.Transport
	// controlTransport sends control messages to the process of the measured node.
	controlTransport *node.Transport
	servers          [2]*server.Server
	// busy holds the callers of both nodes in BenchmarkBusy.
	busy [2]*callers
}

func startNodePair(t testing.TB, env ...string) *nodePair {
	authority, err := node.NewAuthority("capacity", time.Hour)
	assert.NilError(t, err)
	issue := func(id string) keys {
		cert, key, err := authority.Issue(id, time.Hour)
		assert.NilError(t, err)
		return keys{string(cert), string(key), string(authority.CertPEM)}
	}
	var table store.Server
	assert.NilError(t, table.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = table.Stop(context.Background()) })
	d, err := startTargetNode("n1", issue("n1"), table.URL(), 0)
	assert.NilError(t, err)
	t.Cleanup(d.Kill)
	p := &nodePair{}
	line := startProcess(t, "target", issue("n0"), append(env, envStore+"="+table.URL())...)
	assert.NilError(t, json.Unmarshal([]byte(line), &p.addresses), "%s", line)
	p.caller = [2]string{p.Caller, d.CallerAddr()}
	for i, announce := range []string{p.Announce, d.AnnounceAddr()} {
		p.servers[i] = &server.Server{Service: "stock", Slots: 4000, Announce: announce}
		assert.NilError(t, p.servers[i].Start("127.0.0.1:0"))
		t.Cleanup(p.servers[i].Kill)
	}
	p.controlTransport, p.links = openTransport(t, issue("control")), openTransport(t, issue("peers"))
	p.awaitServers(t, d)
	return p
}

// openTransport returns a listening transport that is closed at the end of the test.
func openTransport(t testing.TB, k keys) *node.Transport {
	opened, err := listeningTransport("peers", k.cert, k.key, k.authority)
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = opened.Close(ctx)
	})
	return opened
}

// awaitServers waits until d has both servers in its routing table and the measured
// node answers a request.
func (p *nodePair) awaitServers(t testing.TB, d *daemon.Node) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := len(d.Servers("stock")); got != 2 {
			return poll.Continue("%d of 2 servers are in the routing table", got)
		}
		response, err := http.Get("http://" + p.Caller + "/stock/item")
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return poll.Continue("status %d", response.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(tick))
}

// openLinks opens all links of the measured node in both directions. The bound on
// accepted links leaves room for one from the other node. A request for the load would be
// refused once the measuring budget is spent.
func (p *nodePair) openLinks(t testing.TB) {
	p.control(t, kindOpen, []byte(p.links.Addr()))
	for i := range targetAccepted - 1 {
		_, err := p.links.Control(context.Background(), node.Peer{ID: fmt.Sprint("p", i), Addr: p.Peer}, "config-version", nil)
		assert.NilError(t, err)
	}
}

func (p *nodePair) control(t testing.TB, kind string, body []byte) []byte {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	reply, err := p.controlTransport.Control(ctx, node.Peer{ID: "n0", Addr: p.Control}, kind, body)
	assert.NilError(t, err)
	return reply
}

func (p *nodePair) usage(t testing.TB) (u usage) {
	assert.NilError(t, json.Unmarshal(p.control(t, kindUsage, nil), &u))
	return u
}

// callers holds the connections of callers to one node.
type callers struct {
	// idle holds the connections without a request, the longest idle one first.
	idle chan net.Conn
	mu   sync.Mutex
	// failed is the first error of a request.
	failed error
}

func dialCallers(t testing.TB, addr string, n int) *callers {
	c := &callers{idle: make(chan net.Conn, n)}
	for range n {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		c.idle <- conn
		c.send("/stock/item", nil)
	}
	assert.NilError(t, c.err())
	return c
}

func (c *callers) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// sendAtRate sends n requests at the rate per second, each over the connection that
// has been idle longest.
func (c *callers) sendAtRate(rate, n int, path string, body []byte) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	for range n {
		<-ticker.C
		wg.Go(func() { c.send(path, body) })
	}
	wg.Wait()
}

func (c *callers) send(path string, body []byte) {
	conn := <-c.idle
	defer func() { c.idle <- conn }()
	if err := request(conn, path, body); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.failed == nil {
			c.failed = err
		}
	}
}

func request(conn net.Conn, path string, body []byte) error {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nTenant: geada\r\nClass: lookup\r\nContent-Length: %d\r\n\r\n", method, path, len(body))
	if _, err := io.WriteString(conn, head+string(body)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	return err
}
