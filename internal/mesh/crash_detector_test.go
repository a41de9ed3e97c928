package mesh

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// Guards against a request that is sent to another node before that node knows that the
// request crashed a server, and against a failure that is withheld until all nodes react.
func TestCrashIsReportedBeforeTheFailure(t *testing.T) {
	for name, c := range map[string]struct {
		requests int32
		silent   bool
	}{
		"one request": {1, false}, "several requests in flight": {3, false}, "a node does not react": {1, true},
	} {
		t.Run(name, func(t *testing.T) {
			var arrived, reported atomic.Int32
			var server *httptest.Server
			crash := make(chan struct{})
			server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if arrived.Add(1) == c.requests {
					_ = server.Listener.Close()
					close(crash)
				}
				<-crash
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(server.Close)
			p := newServerProxy(4)
			p.Server = server.Listener.Addr().String()
			p.crash.Options = p.Options
			p.crash.notify = func(quarantine.Incident) {
				if c.silent {
					<-t.Context().Done()
				}
				time.Sleep(10 * time.Millisecond)
				reported.Add(1)
			}
			known := make(chan int32, c.requests)
			for i := range c.requests {
				r := call.Request{
					ID: strconv.Itoa(int(i)), Service: "s", Route: "r", Method: http.MethodPost, URI: "/" + strconv.Itoa(int(i)), Host: "h",
					Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Minute),
				}
				go func() {
					result := p.serve(t.Context(), r, 0)
					assert.Check(t, result.err != nil && result.ran)
					known <- reported.Load()
				}()
			}
			for range c.requests {
				assert.Equal(t, <-known == 0, c.silent)
			}
		})
	}
}

// savingRegistry accepts crashes.
type savingRegistry struct{ Registry }

// SaveCrash implements Registry.
func (savingRegistry) SaveCrash(context.Context, string, string, quarantine.Incident) error {
	return nil
}

// Guards against a node that runs a request which has crashed servers, because it could
// not be reached when another node reported the crash.
func TestCrashReportReachesNodeThatMissedIt(t *testing.T) {
	const content = quarantine.Fingerprint(7)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	to := newEntry("n1", 1)
	to.Addr = reserved.Addr().String()
	assert.NilError(t, reserved.Close())
	newNode := func(name string) *Node {
		n := &Node{Options: Options{Node: name, Service: to.Service, Fresh: true, Registry: savingRegistry{}, Log: &log.Logger{Handler: discard.New()}}}
		n.assemble()
		n.runCtx = t.Context()
		t.Cleanup(n.peers.Close)
		return n
	}
	near, far := newNode("n0"), newNode("n1")
	near.directory.merge([]roster.Entry{to}, time.Now())
	near.serverProxy.crash.table.Merge(quarantine.Incident{ID: 1, Fingerprints: quarantine.Fingerprints{content}}, time.Now())
	near.notifyCrash(quarantine.Incident{ID: 1, Fingerprints: quarantine.Fingerprints{content}})
	assert.Assert(t, near.directory.servers(to.Service, nil)[0].Unreachable)

	far.announcer.mu.Lock()
	far.announcer.own = to
	far.announcer.mu.Unlock()
	assert.NilError(t, far.peerServer.Listen(to.Addr))
	t.Cleanup(far.peerServer.Close)
	prober{&near.announcer}.probe(t.Context(), to)
	assert.Equal(t, far.serverProxy.crash.table.Check(content, time.Now()), quarantine.Alone)
}

// Guards against a node that starts late because hosts that are gone do not answer, that
// serves although nobody has told it of crashes, and that does not wait for its peers.
func TestAwaitCrashes(t *testing.T) {
	const never = time.Hour
	for name, c := range map[string]struct {
		saved, peer     time.Duration
		savedOK, peerOK bool
		asked           int
		want            bool
		took            time.Duration
	}{
		"peer first":                  {never, 20 * time.Millisecond, true, true, 2, true, 20 * time.Millisecond},
		"registry first, then a peer": {5 * time.Millisecond, 20 * time.Millisecond, true, true, 2, true, 20 * time.Millisecond},
		"peers are gone":              {5 * time.Millisecond, crashAskTimeout, true, false, 2, true, crashPeerWait},
		"peers refuse":                {5 * time.Millisecond, 10 * time.Millisecond, true, false, 2, true, 10 * time.Millisecond},
		"no peers":                    {5 * time.Millisecond, never, true, false, 0, true, 5 * time.Millisecond},
		"registry is slow":            {time.Second, crashAskTimeout, true, false, 2, true, time.Second},
		"nobody answers":              {time.Second, crashAskTimeout, false, false, 2, false, time.Second},
		"registry down, peer slow":    {0, 200 * time.Millisecond, false, true, 2, true, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				saved, peers := make(chan bool, 1), make(chan bool, maxCrashPeers)
				defer time.AfterFunc(c.saved, func() { saved <- c.savedOK }).Stop()
				for range c.asked {
					defer time.AfterFunc(c.peer, func() { peers <- c.peerOK }).Stop()
				}
				began := time.Now()
				assert.Equal(t, awaitCrashes(saved, peers, c.asked), c.want)
				assert.Equal(t, time.Since(began), c.took)
			})
		})
	}
}
