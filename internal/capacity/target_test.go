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
	nodemetrics "github.com/vanillasail/vanillasail/internal/metrics"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/settings"
	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/retry"
)

// Environment variables of the process that runs the measured node.
const (
	envStore = "CAPACITY_STORE"
	// envGrowth holds a value for settings.Memory.Growth instead of the default.
	envGrowth = "CAPACITY_GROWTH"
)

// Kinds of control messages to the process that runs the measured node.
const (
	kindOpen           = "open"   // opens links to the address in the body
	kindAwaitMinGrowth = "settle" // waits for the minimum growth of the heap
	kindReset          = "reset"  // starts a measurement
	kindUsage          = "usage"  // ends a measurement and returns its usage
)

const (
	targetLabels  = 256
	targetRecords = 14700
	targetClasses = 17
	targetNodes   = 710
	// targetLinks is the number of links that routing uses
	// (routing.Config.MaxServers), targetAccepted the bound of the transport on
	// accepted links.
	targetLinks    = 80
	targetAccepted = 112
	megabyte       = 1 << 20
)

// addresses holds the addresses on which the process of the measured node listens.
type addresses struct{ Caller, Peer, Announce, Control string }

// usage holds the resources that the process of the measured node used during a
// measurement. Runtime, Anon and Resident are peaks in bytes, Live is the bytes of
// heap and stacks in use at the end.
type usage struct {
	// Runtime is the memory of the heap and the stacks of the Go runtime with its
	// fragmentation, Anon the resident memory without file pages, Resident all
	// resident memory.
	Runtime, Anon, Resident uint64
	Live                    uint64
	Processor, Collector    float64 // shares of a core
	Links                   int
}

// runTarget is the main function of the role target. It runs the measured node until
// standard input is closed.
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
	state := targetState()
	var s usageSampler
	go s.run()
	t, err := newTransport("links", k.cert, k.key, k.authority)
	if err != nil {
		return err
	}
	t.Controls[kindOpen] = func(ctx context.Context, _ string, addr []byte) ([]byte, error) {
		for i := range targetLinks {
			if _, err := t.Control(ctx, node.Peer{ID: fmt.Sprint("p", i), Addr: string(addr)}, kindNoOp, nil); err != nil {
				return nil, err
			}
		}
		return nil, nil
	}
	t.Controls[kindAwaitMinGrowth] = func(context.Context, string, []byte) ([]byte, error) {
		awaitMinGrowth(growth)
		return nil, nil
	}
	t.Controls[kindReset] = func(context.Context, string, []byte) ([]byte, error) { return nil, s.reset() }
	t.Controls[kindUsage] = func(context.Context, string, []byte) ([]byte, error) { return json.Marshal(s.finish(t)) }
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
	runtime.KeepAlive(state)
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

// targetState returns the state of a node of the target that its requests in the
// benchmark do not create. It consists of separate objects, because the state of a
// daemon.Node cannot be set from outside. It has no ring of decisions, because the
// node's own ring allocates all its memory with the first request.
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
		for range 99 { // after 100 answers, the estimates take less memory
			hedger.Observe(service, class, time.Millisecond)
		}
	}
	return []any{records, table, &peers, &limits, &hedger, targetHistory(now, &limits)}
}

// targetHistory returns the history of one hour of a node with the largest number of
// labels.
func targetHistory(now time.Time, limits *budget.Limiter) *nodemetrics.History {
	const interval, hour, rate = 10, 3600, 123
	h := &nodemetrics.History{Registry: &nodemetrics.Registry{}, Limits: limits}
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

// usageSampler samples the memory of this process and records the peaks.
type usageSampler struct {
	mu     sync.Mutex
	peak   usage
	since  time.Time
	before [2]float64
}

func (s *usageSampler) run() {
	for range time.Tick(tick) {
		now := memoryOfProcess()
		s.mu.Lock()
		s.peak.Runtime = max(s.peak.Runtime, now.Runtime)
		s.peak.Anon = max(s.peak.Anon, now.Anon)
		s.peak.Resident = max(s.peak.Resident, now.Resident)
		s.mu.Unlock()
	}
}

// awaitMinGrowth waits until the node has reduced the heap growth to its minimum. The
// node raises it while the state is built and during TLS handshakes, because the
// collector is busy then.
func awaitMinGrowth(growth int) {
	gogc := []metrics.Sample{{Name: "/gc/gogc:percent"}}
	for range time.Tick(tick) {
		if metrics.Read(gogc); gogc[0].Value.Uint64() <= uint64(growth) {
			return
		}
	}
}

// reset starts a measurement.
func (s *usageSampler) reset() error {
	// A node that has run for an hour no longer holds the garbage that building its
	// state produced.
	debug.FreeOSMemory()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak, s.since, s.before = usage{}, time.Now(), [2]float64{processorTime().Seconds(), collectorTime()}
	return nil
}

// finish ends the measurement and returns its usage.
func (s *usageSampler) finish(t *node.Transport) usage {
	s.mu.Lock()
	u, took := s.peak, time.Since(s.since).Seconds()
	u.Processor = (processorTime().Seconds() - s.before[0]) / took
	u.Collector = (collectorTime() - s.before[1]) / took
	s.mu.Unlock()
	u.Live, u.Links = uint64(memoryInUse()), t.Links()
	return u
}

// collectorTime returns the seconds of processor time of the garbage collector,
// without the marking on processors that were idle.
func collectorTime() float64 {
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/gc/mark/idle:cpu-seconds"}}
	metrics.Read(samples)
	return samples[0].Value.Float64() - samples[1].Value.Float64()
}

// memoryOfProcess returns the current Runtime, Anon and Resident of this process.
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
		float64(u.Runtime)/megabyte, float64(u.Anon)/megabyte, float64(u.Resident)/megabyte, float64(u.Live)/megabyte,
		100*u.Processor, 100*math.Max(u.Collector, 0), u.Links)
}
