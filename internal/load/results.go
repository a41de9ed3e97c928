package load

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillasail/vanillasail/internal/standin/server"
)

const (
	maxLatency        = 60_000_000 // microseconds
	significantDigits = 3
	// maxExamples is the maximum number of examples kept of each kind.
	maxExamples = 5
)

// classResults holds the results of one class of requests. The number dropped counts
// the requests without a complete answer.
type classResults struct {
	latency                        *hdrhistogram.Histogram
	ran, refused, unknown, dropped int
}

// Results records the answers that callers received.
type Results struct {
	mu      sync.Mutex
	classes map[string]*classResults
	// refused holds the IDs of requests with the outcome refused.
	refused map[string]bool
	// The following hold examples for the report.
	wrongAnswers, dropped []string
	refusals              []string
	unknowns              []string
	wrongCount            int
}

// Totals holds the sums over all classes.
type Totals struct{ Ran, Refused, Unknown, Dropped int }

// Totals returns the sums so far.
func (l *Results) Totals() (t Totals) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.classes {
		t.Ran += c.ran
		t.Refused += c.refused
		t.Unknown += c.unknown
		t.Dropped += c.dropped
	}
	return t
}

func (l *Results) class(name string) *classResults {
	if l.classes == nil {
		l.classes = make(map[string]*classResults)
		l.refused = make(map[string]bool)
	}
	t := l.classes[name]
	if t == nil {
		t = &classResults{latency: hdrhistogram.New(1, maxLatency, significantDigits)}
		l.classes[name] = t
	}
	return t
}

func (l *Results) recordAnswer(r request, response *http.Response, text string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.class(r.class)
	switch response.Header.Get("Outcome") {
	case "refused":
		t.refused++
		l.refused[r.id] = true
		l.refusals = appendExample(l.refusals, r, text)
	case "ran":
		t.ran++
		_ = t.latency.RecordValue(took.Microseconds())
		replayed := response.Header.Get("Idempotency-Replayed") == "true"
		if response.StatusCode == http.StatusOK && !r.matches(text, replayed) {
			l.wrongCount++
			if len(l.wrongAnswers) < maxExamples {
				l.wrongAnswers = append(l.wrongAnswers, fmt.Sprintf("%s got %.60q with %v", r.id, text, response.Header))
			}
		}
	default:
		t.unknown++
		l.unknowns = appendExample(l.unknowns, r, text)
	}
}

func appendExample(all []string, r request, text string) []string {
	if len(all) == maxExamples {
		return all
	}
	return append(all, fmt.Sprintf("%s %s got %s", time.Now().Format(time.RFC3339Nano), r.id, text))
}

// Examples returns descriptions of some requests that were not answered by a
// backend server.
func (l *Results) Examples() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Concat(l.dropped, l.unknowns, l.refusals)
}

func (l *Results) recordFailure(r request, addr string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.class(r.class).dropped++
	if len(l.dropped) < maxExamples {
		l.dropped = append(l.dropped, fmt.Sprintf("%s through %s: %v", r.id, addr, err))
	}
}

// Check is an invariant with the number of its violations and examples of them.
type Check struct {
	Name       string
	Violations int
	Examples   []string
}

// Checks compares the answers with the requests that the servers ran.
func (l *Results) Checks(runs []server.Run) []Check {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := Check{Name: "no refused request was run"}
	once := Check{Name: "each Idempotency-Key ran at most once"}
	keys := make(map[string]int)
	for _, run := range runs {
		if l.refused[run.ID] {
			refused.add(run.ID)
		}
		if run.Key == "" {
			continue
		}
		if keys[run.Key]++; keys[run.Key] == 2 {
			once.add(run.Key)
		}
	}
	dropped := 0
	for _, t := range l.classes {
		dropped += t.dropped
	}
	return []Check{
		{Name: "every answer belongs to its request", Violations: l.wrongCount, Examples: l.wrongAnswers},
		refused,
		once,
		{Name: "no request failed without an answer", Violations: dropped, Examples: l.dropped},
	}
}

func (c *Check) add(example string) {
	c.Violations++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, example)
	}
}

// Write writes the results and latencies by class to out.
func (l *Results) Write(out io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tran\trefused\tunknown\tdropped\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, name := range slices.Sorted(maps.Keys(l.classes)) {
		t := l.classes[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n", name, t.ran, t.refused, t.unknown, t.dropped,
			Millis(t.latency.ValueAtPercentile(50)), Millis(t.latency.ValueAtPercentile(99)), Millis(t.latency.ValueAtPercentile(99.9)))
	}
	_ = w.Flush()
}

// Millis converts microseconds to milliseconds.
func Millis(us int64) float64 { return float64(us) / float64(time.Millisecond/time.Microsecond) }
