package demo

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillasail/vanillasail/internal/standin/server"
)

const (
	maxLatency = 60_000_000 // microseconds
	digits     = 3
	// drainTime is how long a draining server may still get new requests.
	drainTime = 3 * time.Second
)

// tally counts the results of one class of requests.
type tally struct {
	latency                        *hdrhistogram.Histogram
	ran, refused, unknown, dropped int
}

// ledger records what callers saw, to be compared with the servers' journals.
type ledger struct {
	mu      sync.Mutex
	classes map[string]*tally
	// refusedIDs are requests that the system said were not run.
	refusedIDs map[string]bool
	wrong      []string
	retries    int
	avoided    map[int]bool
	drains     map[*server.Server]time.Time
}

func (l *ledger) class(name string) *tally {
	if l.classes == nil {
		l.classes = make(map[string]*tally)
		l.refusedIDs = make(map[string]bool)
	}
	t := l.classes[name]
	if t == nil {
		t = &tally{latency: hdrhistogram.New(1, maxLatency, digits)}
		l.classes[name] = t
	}
	return t
}

func (l *ledger) answered(r sent, response *http.Response, text string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.class(r.class)
	switch response.Header.Get("Outcome") {
	case "refused":
		t.refused++
		l.refusedIDs[r.id] = true
	case "ran":
		t.ran++
		_ = t.latency.RecordValue(took.Microseconds())
		replayed := response.Header.Get("Idempotency-Replayed") == "true"
		if response.StatusCode == http.StatusOK && !ownAnswer(r, text, replayed) {
			l.wrong = append(l.wrong, r.id)
		}
	default:
		t.unknown++
	}
}

func (l *ledger) failed(r sent, _ error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.class(r.class).dropped++
}

// entry picks the node that caller n uses, passing over nodes that stop.
func (l *ledger) entry(n, nodes int) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range nodes {
		if at := (n + i) % nodes; !l.avoided[at] {
			return at, true
		}
	}
	return 0, false
}

func (l *ledger) avoid(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoided == nil {
		l.avoided = make(map[int]bool)
	}
	l.avoided[node] = true
}

func (l *ledger) drained(s *server.Server, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drains == nil {
		l.drains = make(map[*server.Server]time.Time)
	}
	l.drains[s] = at
}
