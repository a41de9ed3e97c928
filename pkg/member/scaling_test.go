package member_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/vanillasail/vanillasail/pkg/member"
)

// scalingResult holds the figures of one run with one cluster size. Bytes include the
// 57 bytes that encryption, UDP and IPv4 add to each message.
type scalingResult struct {
	Nodes       int     `json:"nodes"`
	SentIdle    float64 `json:"sent_idle_bytes_s"`
	BothIdle    float64 `json:"sent_and_received_idle_bytes_s"`
	PeakIdle    int     `json:"sent_idle_peak_bytes_s"`
	LinkIdle    float64 `json:"link_idle_bytes_s_node"`
	Messages    float64 `json:"messages_idle_s"`
	CPUIdle     float64 `json:"cpu_idle_percent_core"`
	SentChurn   float64 `json:"sent_churn_bytes_s"`
	PeakChurn   int     `json:"sent_churn_peak_bytes_s"`
	PerChange   float64 `json:"sent_bytes_node_change"`
	CPUChurn    float64 `json:"cpu_churn_percent_core"`
	SentLoss    float64 `json:"sent_loss_bytes_s"`
	PeakLoss    int     `json:"sent_loss_peak_bytes_s"`
	MissingLoss float64 `json:"views_missing_loss_ppm"`
	Memory      float64 `json:"memory_bytes"`
	Crash       float64 `json:"crash_known_everywhere_s"`
	Join        float64 `json:"join_known_everywhere_s"`
	SeedJoin    float64 `json:"seed_join_knows_all_s"`
	Domain      float64 `json:"domain_lost_known_everywhere_s"`
	PeakDomain  int     `json:"sent_domain_lost_peak_bytes_s"`
}

// BenchmarkScaling measures the cost of membership per node by cluster size. All nodes
// run in this process. CPU time and memory include the in-memory network but not
// encryption, which internal/gossip measures.
//
//	go test ./pkg/member -run '^$' -bench Scaling -benchtime 1x -count 3
func BenchmarkScaling(b *testing.B) {
	for _, size := range []int{10, 30, 100, 300, 710} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				s := measure(uint64(time.Now().UnixNano()), size)
				raw, _ := json.Marshal(s)
				fmt.Printf("\n%s\n", raw) // the benchmark's name may precede on the line
				var table map[string]float64
				_ = json.Unmarshal(raw, &table)
				for name, value := range table {
					b.ReportMetric(value, name)
				}
			}
		})
	}
}

const (
	measureTime = 30 * time.Second
	// churnEvery is the time between changes. This is 76 times the rate of 113 changes
	// a day. At a higher rate, the pacer would limit the bytes sent, and the measured
	// cost of a change would be too low.
	churnEvery   = 10 * time.Second
	churnChanges = 6
)

func measure(seed uint64, size int) scalingResult {
	s := scalingResult{Nodes: size}
	before := heap()
	n := cluster(seed, size, 2)
	s.Memory = float64(heap()-before) / float64(size)
	nodes := float64(size) * measureTime.Seconds()

	start := n.snapshot()
	n.run(measureTime)
	idle := n.since(start)
	s.SentIdle, s.BothIdle = idle.sent/nodes, (idle.sent+idle.received)/nodes
	s.LinkIdle, s.Messages = idle.link/nodes, idle.messages/nodes
	s.CPUIdle, s.PeakIdle = 100*idle.cpu/nodes, n.peak(start)

	start = n.snapshot()
	for i := range churnChanges {
		n.replace(i, size)
		n.run(churnEvery)
	}
	churn := n.since(start)
	nodes = float64(size) * churnChanges * churnEvery.Seconds()
	s.SentChurn, s.CPUChurn, s.PeakChurn = churn.sent/nodes, 100*churn.cpu/nodes, n.peak(start)
	s.PerChange = (s.SentChurn - s.SentIdle) * churnEvery.Seconds()

	n.runUntilComplete()
	s.Crash, s.Join, s.SeedJoin = n.crash(), n.join(size+1), n.seedJoin(size+2)
	n.runUntilComplete()
	s.measureLoss(n)
	n.runUntilComplete()
	start = n.snapshot()
	s.Domain = n.failDomain()
	s.PeakDomain = n.peak(start)
	return s
}

func (s *scalingResult) measureLoss(n *network) {
	start, missing, views := n.snapshot(), 0, 0
	size := n.running()
	n.loss = 0.15
	for range int(measureTime.Seconds() / 5) {
		n.run(5 * time.Second)
		for _, h := range n.hosts {
			if !h.down {
				missing += size - h.Table().Len()
				views += size
			}
		}
	}
	n.loss = 0
	s.SentLoss = n.since(start).sent / float64(size) / measureTime.Seconds()
	s.PeakLoss = n.peak(start)
	s.MissingLoss = 1e6 * float64(missing) / float64(views)
}

// totals holds sums over all hosts.
type totals struct{ sent, received, link, messages, cpu float64 }

type snapshot struct {
	totals
	ms int
}

func (n *network) totals() (t totals) {
	for _, h := range n.hosts {
		t.sent += float64(h.sent.total())
		t.received += float64(h.received.total())
		t.messages += float64(h.messages)
	}
	t.link = float64(n.link.total())
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	t.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
	return t
}

func (n *network) snapshot() snapshot { return snapshot{n.totals(), n.ms} }

func (n *network) since(m snapshot) totals {
	t := n.totals()
	return totals{t.sent - m.sent, t.received - m.received, t.link - m.link, t.messages - m.messages, t.cpu - m.cpu}
}

func (n *network) peak(m snapshot) (most int) {
	for _, h := range n.hosts {
		most = max(most, h.sent.peak(m.ms))
	}
	return most
}

func (n *network) running() (running int) {
	for _, h := range n.hosts {
		if !h.down {
			running++
		}
	}
	return running
}

// runUntilComplete runs until the tables are complete, at most for 30 s. It checks
// rarely, because comparing the tables is slow with 710 nodes.
func (n *network) runUntilComplete() {
	for range 10 {
		n.run(3 * time.Second)
		if n.complete() {
			return
		}
	}
}

// replace restarts a member with a new incarnation and the same ID and address. Every
// sixth change is a crash, after which a member with a new ID joins.
func (n *network) replace(i, size int) {
	old := n.hosts[n.random.IntN(len(n.hosts))]
	for old.down {
		old = n.hosts[n.random.IntN(len(n.hosts))]
	}
	m := old.Local().WithSeq(0).WithIncarnation(member.NextIncarnation(old.Local().Incarnation, n.now))
	if i%6 == 5 {
		m.ID = fmt.Sprintf("node-%04d", size+1000+i)
	} else {
		n.send(old, old.Leave(n.now))
	}
	known := old.Table().Members()
	n.start(m).AddMembers(n.now, known)
}

func (n *network) crash() float64 {
	h := n.hosts[len(n.hosts)-1]
	h.down = true
	took, _ := n.until(time.Minute, func() bool { return n.everywhere(h.Local().ID, notAccepting) })
	return took.Seconds()
}

func (n *network) join(number int) float64 {
	known := n.hosts[len(n.hosts)-2].Table().Members()
	h := n.start(n.record(number, 2))
	h.AddMembers(n.now, known)
	took, _ := n.until(time.Minute, func() bool { return n.everywhere(h.Local().ID, accepting) })
	return took.Seconds()
}

func (n *network) seedJoin(number int) float64 {
	h := n.start(n.record(number, 2), n.hosts[len(n.hosts)-1].addr)
	running := n.running()
	took, _ := n.until(time.Minute, func() bool { return h.Table().Len() == running })
	return took.Seconds()
}

// failDomain stops one failure domain, a quarter of all members, and returns the
// seconds until no running member sends requests to it.
func (n *network) failDomain() float64 {
	gone := make(map[string]bool)
	for _, h := range n.hosts {
		if m := h.Local(); !h.down && m.Region == "region-0" && m.Domain == "domain-0" {
			h.down = true
			gone[m.ID] = true
		}
	}
	start := n.now
	for _, h := range n.hosts {
		for !h.down && !h.rejectsAll(gone) && n.now.Sub(start) < time.Minute {
			n.run(100 * time.Millisecond)
		}
	}
	return n.now.Sub(start).Seconds()
}

func (h *host) rejectsAll(gone map[string]bool) bool {
	for _, m := range h.Table().Members() {
		if gone[m.ID] && m.Accepts() {
			return false
		}
	}
	return true
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
