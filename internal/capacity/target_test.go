package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/daemon"
	own "github.com/vanillasail/vanillasail/internal/metrics"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/settings"
	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/retry"
)

// Variables of the process that is a node at the target.
const (
	envStore = "CAPACITY_STORE"
	// envGrowth replaces the default setting of the collector.
	envGrowth = "CAPACITY_GROWTH"
)

// Control messages to that process.
const (
	kindOpen   = "open"   // opens links to the address in the body
	kindSettle = "settle" // waits for the least growth
	kindReset  = "reset"  // starts a measurement
	kindUsage  = "usage"  // ends it
)

const (
	targetLabels  = 256
	targetRecords = 14700
	targetClasses = 17
	targetNodes   = 710
	// targetLinks are the links that routing uses (routing.Config.Total), and
	// targetAccepted the bound of the transport.
	targetLinks    = 80
	targetAccepted = 112
	mega           = 1 << 20
)

// addresses of the process.
type addresses struct{ Caller, Peer, Announce, Control string }

// usage is what the process used during a measurement; sizes are peaks in bytes.
type usage struct {
	// Runtime is the heap and the stacks of the Go runtime with the gaps in
	// them, Anon the memory of the process that is not a file page, Resident all
	// of it.
	Runtime, Anon, Resident uint64
	Live                    uint64
	Processor, Collector    float64 // shares of a core
	Links                   int
}

// runTarget runs a node with the state of the target until its input ends.
func runTarget() error {
	growth := settings.Default().Memory.Growth
	if n, err := strconv.Atoi(os.Getenv(envGrowth)); err == nil {
		growth = n
	}
	k := keys{os.Getenv(envCert), os.Getenv(envKey), os.Getenv(envCA)}
	d, err := startTargetNode("n0", k, os.Getenv(envStore), growth)
	if err != nil {
		return err
	}
	kept := targetState()
	var w watcher
	go w.run()
	t, err := newTransport("links", k.cert, k.key, k.authority)
	if err != nil {
		return err
	}
	t.Controls[kindOpen] = func(ctx context.Context, _ string, addr []byte) ([]byte, error) {
		for i := range targetLinks {
			if _, err := t.Control(ctx, node.Peer{ID: fmt.Sprint("p", i), Addr: string(addr)}, kindUse, nil); err != nil {
				return nil, err
			}
		}
		return nil, nil
	}
	t.Controls[kindSettle] = func(context.Context, string, []byte) ([]byte, error) {
		settle(growth)
		return nil, nil
	}
	t.Controls[kindReset] = func(context.Context, string, []byte) ([]byte, error) { return nil, w.reset() }
	t.Controls[kindUsage] = func(context.Context, string, []byte) ([]byte, error) { return json.Marshal(w.end(t)) }
	if err := t.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	line, err := json.Marshal(addresses{d.CallerAddr(), d.PeerAddr(), d.AnnounceAddr(), t.Addr()})
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	var end string
	_, _ = fmt.Scanln(&end)
	runtime.KeepAlive(kept)
	return nil
}

func startTargetNode(id string, k keys, table string, growth int) (*daemon.Node, error) {
	credentials := &node.Credentials{}
	if err := credentials.Replace([]byte(k.cert), []byte(k.key), []byte(k.authority)); err != nil {
		return nil, err
	}
	d := &daemon.Node{Options: daemon.Options{
		ID: id, Region: "poa", Domain: "d0",
		Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Announce: "127.0.0.1:0", Operator: "127.0.0.1:0",
		TokenSecret: "an operator secret of at least 32 characters",
		Secret:      "secret of the measured cluster", Table: table, Object: table,
		Credentials: credentials, Growth: growth, Log: &log.Logger{Handler: discard.Default},
	}}
	return d, d.Start()
}

// targetState returns the state that a node holds at the target beside what its
// requests leave. It is held in parts of its own, because a daemon.Node cannot
// be filled from outside. The ring of decisions is missing: that of the node
// takes all its memory at the first request.
func targetState() []any {
	now := time.Now()
	records, err := finishedRecords(targetRecords, answerBytes)
	if err != nil {
		panic(err)
	}
	table, err := routes(targetServices, targetServers)
	if err != nil {
		panic(err)
	}
	var peers member.Table
	for _, m := range members(targetNodes) {
		peers.Merge(m)
	}
	var limits budget.Limiter
	for i := range targetNodes {
		limits.Allow(budget.Probe, 100, now, budget.Server(nodeID(i)))
	}
	var hedger retry.Hedger
	for i := range 23 * 16 {
		service, class := fmt.Sprint("service", i/16), fmt.Sprint("class", i%16)
		for range 99 { // an answer more, and the estimates need less memory
			hedger.Observe(service, class, time.Millisecond)
		}
	}
	return []any{records, table, &peers, &limits, &hedger, targetHistory(now, &limits)}
}

// targetHistory returns an hour of figures of a node with the largest number of
// labels.
func targetHistory(now time.Time, limits *budget.Limiter) *own.History {
	const interval, hour, rate = 10, 3600, 123
	h := &own.History{Registry: &own.Registry{}, Limits: limits}
	for second := range hour {
		for i := range rate {
			n := (second*rate + i) % targetLabels
			q := call.Request{Service: fmt.Sprint("service-", n%targetServices), Class: fmt.Sprint("c", n%5), Tenant: fmt.Sprint("t", n)}
			h.Registry.Answered(q, 200, nil, time.Duration(1+i*i)*time.Millisecond/10)
		}
		if second%interval == 0 {
			h.Tick(now.Add(time.Duration(second)*time.Second), 1)
		}
	}
	return h
}

// watcher keeps the peaks of the memory of this process.
type watcher struct {
	mu     sync.Mutex
	peak   usage
	since  time.Time
	before [2]float64
}

func (w *watcher) run() {
	for range time.Tick(tick) {
		now := memoryOfProcess()
		w.mu.Lock()
		w.peak.Runtime = max(w.peak.Runtime, now.Runtime)
		w.peak.Anon = max(w.peak.Anon, now.Anon)
		w.peak.Resident = max(w.peak.Resident, now.Resident)
		w.mu.Unlock()
	}
}

// settle waits until the node has returned to its least growth, which filling
// and handshakes raise.
func settle(growth int) {
	gogc := []metrics.Sample{{Name: "/gc/gogc:percent"}}
	for range time.Tick(tick) {
		if metrics.Read(gogc); gogc[0].Value.Uint64() <= uint64(growth) {
			return
		}
	}
}

// reset starts a measurement.
func (w *watcher) reset() error {
	// What filling left behind is not that of a node that ran for an hour.
	debug.FreeOSMemory()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak, w.since, w.before = usage{}, time.Now(), [2]float64{processorTime().Seconds(), collectorTime()}
	return nil
}

func (w *watcher) end(t *node.Transport) usage {
	w.mu.Lock()
	u, took := w.peak, time.Since(w.since).Seconds()
	u.Processor = (processorTime().Seconds() - w.before[0]) / took
	u.Collector = (collectorTime() - w.before[1]) / took
	w.mu.Unlock()
	u.Live, u.Links = uint64(retained()), t.Links()
	return u
}

// collectorTime returns the seconds of processor time of the collector, without
// those on idle processors.
func collectorTime() float64 {
	names := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/gc/mark/idle:cpu-seconds"}}
	metrics.Read(names)
	return names[0].Value.Float64() - names[1].Value.Float64()
}

func memoryOfProcess() (u usage) {
	var classes [6]metrics.Sample
	for i, name := range []string{"heap/objects", "heap/unused", "heap/free", "heap/stacks", "metadata/mspan/inuse", "metadata/mcache/inuse"} {
		classes[i].Name = "/memory/classes/" + name + ":bytes"
	}
	metrics.Read(classes[:])
	for _, class := range classes {
		u.Runtime += class.Value.Uint64()
	}
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return u // not Linux
	}
	for line := range strings.Lines(string(text)) {
		var n uint64
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &n); err == nil {
			u.Anon = n << 10
		}
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &n); err == nil {
			u.Resident = n << 10
		}
	}
	return u
}

func (u usage) String() string {
	return fmt.Sprintf("runtime %.1f MB, anonymous %.1f MB, resident %.1f MB, live %.1f MB, processor %.1f %%, collector %.1f %%, %d links",
		float64(u.Runtime)/mega, float64(u.Anon)/mega, float64(u.Resident)/mega, float64(u.Live)/mega,
		100*u.Processor, 100*math.Max(u.Collector, 0), u.Links)
}
