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
	maxLatency = 60_000_000 // microseconds
	digits     = 3
	// maxExamples bounds how many violations are kept to be shown.
	maxExamples = 5
)

// tally counts the results of one class of requests.
type tally struct {
	latency                        *hdrhistogram.Histogram
	ran, refused, unknown, dropped int
}

// Results records what callers saw.
type Results struct {
	mu      sync.Mutex
	classes map[string]*tally
	// refused holds the IDs of requests that the system said were not run.
	refused map[string]bool
	// wrong and drops hold examples for the closing report.
	wrong, drops []string
	refusals     []string
	unknowns     []string
	wrongCount   int
}

// Totals are the results of all classes.
type Totals struct{ Ran, Refused, Unknown, Dropped int }

// Totals returns the results so far.
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

func (l *Results) class(name string) *tally {
	if l.classes == nil {
		l.classes = make(map[string]*tally)
		l.refused = make(map[string]bool)
	}
	t := l.classes[name]
	if t == nil {
		t = &tally{latency: hdrhistogram.New(1, maxLatency, digits)}
		l.classes[name] = t
	}
	return t
}

func (l *Results) answered(r request, response *http.Response, text string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.class(r.class)
	switch response.Header.Get("Outcome") {
	case "refused":
		t.refused++
		l.refused[r.id] = true
		l.refusals = example(l.refusals, r, text)
	case "ran":
		t.ran++
		_ = t.latency.RecordValue(took.Microseconds())
		replayed := response.Header.Get("Idempotency-Replayed") == "true"
		if response.StatusCode == http.StatusOK && !r.own(text, replayed) {
			l.wrongCount++
			if len(l.wrong) < maxExamples {
				l.wrong = append(l.wrong, fmt.Sprintf("%s got %.60q with %v", r.id, text, response.Header))
			}
		}
	default:
		t.unknown++
		l.unknowns = example(l.unknowns, r, text)
	}
}

func example(all []string, r request, text string) []string {
	if len(all) == maxExamples {
		return all
	}
	return append(all, fmt.Sprintf("%s %s got %s", time.Now().Format(time.RFC3339Nano), r.id, text))
}

// Examples returns some of the requests that were not answered by a server.
func (l *Results) Examples() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Concat(l.drops, l.unknowns, l.refusals)
}

func (l *Results) failed(r request, addr string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.class(r.class).dropped++
	if len(l.drops) < maxExamples {
		l.drops = append(l.drops, fmt.Sprintf("%s through %s: %v", r.id, addr, err))
	}
}

// Check is one invariant, how often it was violated, and examples.
type Check struct {
	Name       string
	Violations int
	Examples   []string
}

// Checks compares what callers saw with everything that the servers ran.
func (l *Results) Checks(runs []server.Run) []Check {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := Check{Name: "what was refused as not run was not run"}
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
		{Name: "every answer belongs to its request", Violations: l.wrongCount, Examples: l.wrong},
		refused,
		once,
		{Name: "no request failed without an answer", Violations: dropped, Examples: l.drops},
	}
}

func (c *Check) add(example string) {
	c.Violations++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, example)
	}
}

// Write prints results and latencies by class.
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

// Millis turns microseconds into milliseconds.
func Millis(us int64) float64 { return float64(us) / float64(time.Millisecond/time.Microsecond) }
