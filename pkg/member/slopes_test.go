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

// slope holds the raw figures of one run at one size. Bytes include the 57
// bytes that sealing, UDP and IPv4 add to each message.
type slope struct {
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

// BenchmarkSlopes measures what membership costs each node as the cluster
// grows. All nodes run in this process, so CPU time and memory include the
// in-memory network and leave out sealing, which internal/gossip measures.
//
//	go test ./pkg/member -run '^$' -bench Slopes -benchtime 1x -count 3
func BenchmarkSlopes(b *testing.B) {
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
	measured = 30 * time.Second
	// churnEvery is the time between changes, 76 times as many as 113 a day. The
	// bytes of faster changes are cut by pacing and would look too cheap.
	churnEvery = 10 * time.Second
	churned    = 6
)

func measure(seed uint64, size int) slope {
	s := slope{Nodes: size}
	before := heap()
	n := cluster(seed, size, 2)
	s.Memory = float64(heap()-before) / float64(size)
	nodes := float64(size) * measured.Seconds()

	start := n.mark()
	n.run(measured)
	idle := n.since(start)
	s.SentIdle, s.BothIdle = idle.sent/nodes, (idle.sent+idle.received)/nodes
	s.LinkIdle, s.Messages = idle.link/nodes, idle.messages/nodes
	s.CPUIdle, s.PeakIdle = 100*idle.cpu/nodes, n.peak(start)

	start = n.mark()
	for i := range churned {
		n.replace(i, size)
		n.run(churnEvery)
	}
	churn := n.since(start)
	nodes = float64(size) * churned * churnEvery.Seconds()
	s.SentChurn, s.CPUChurn, s.PeakChurn = churn.sent/nodes, 100*churn.cpu/nodes, n.peak(start)
	s.PerChange = (s.SentChurn - s.SentIdle) * churnEvery.Seconds()

	n.settle()
	s.Crash, s.Join, s.SeedJoin = n.crash(), n.join(size+1), n.seedJoin(size+2)
	n.settle()
	s.measureLoss(n)
	n.settle()
	start = n.mark()
	s.Domain = n.loseDomain()
	s.PeakDomain = n.peak(start)
	return s
}

func (s *slope) measureLoss(n *network) {
	start, missing, views := n.mark(), 0, 0
	size := n.running()
	n.loss = 0.15
	for range int(measured.Seconds() / 5) {
		n.run(5 * time.Second)
		for _, h := range n.hosts {
			if !h.down {
				missing += size - h.Table().Len()
				views += size
			}
		}
	}
	n.loss = 0
	s.SentLoss = n.since(start).sent / float64(size) / measured.Seconds()
	s.PeakLoss = n.peak(start)
	s.MissingLoss = 1e6 * float64(missing) / float64(views)
}

// totals are sums over all hosts.
type totals struct{ sent, received, link, messages, cpu float64 }

type mark struct {
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

func (n *network) mark() mark { return mark{n.totals(), n.ms} }

func (n *network) since(m mark) totals {
	t := n.totals()
	return totals{t.sent - m.sent, t.received - m.received, t.link - m.link, t.messages - m.messages, t.cpu - m.cpu}
}

func (n *network) peak(m mark) (most int) {
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

// settle waits for complete tables. Comparing them is slow at 710 nodes.
func (n *network) settle() {
	for range 10 {
		n.run(3 * time.Second)
		if n.complete() {
			return
		}
	}
}

// replace restarts a member as new incarnation under the same ID and address.
// Every sixth change is a crash after which a member with a new ID joins.
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

// loseDomain stops half of a region, a quarter of all members.
func (n *network) loseDomain() float64 {
	gone := make(map[string]bool)
	for _, h := range n.hosts {
		if m := h.Local(); !h.down && m.Region == "region-0" && m.Domain == "domain-0" {
			h.down = true
			gone[m.ID] = true
		}
	}
	start := n.now
	for _, h := range n.hosts {
		for !h.down && !h.rejects(gone) && n.now.Sub(start) < time.Minute {
			n.run(100 * time.Millisecond)
		}
	}
	return n.now.Sub(start).Seconds()
}

func (h *host) rejects(gone map[string]bool) bool {
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
