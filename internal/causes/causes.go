// Package causes sums the failed requests in the logs of nodes.
package causes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// failedMessage is what a node logs for each request that it fails.
const failedMessage = `message="request failed"`

// Summary sums the failures of requests in the logs of many nodes. The zero value
// has read nothing.
type Summary struct {
	sums map[cause]*Group
	// seconds counts failures by kind and second.
	seconds map[string]map[int64]int
	// DropReports counts reports of lines that a node did not write.
	DropReports int
	// InvalidTimes counts failures without a time that can be read.
	InvalidTimes int
}

// cause groups failures.
type cause struct {
	service, route, kind, text string
}

// Group is what is known of failures with one cause.
type Group struct {
	Count   int    `json:"count"`
	Service string `json:"service"`
	Route   string `json:"route"`
	Kind    string `json:"kind"`
	Status  string `json:"status"`
	Outcome string `json:"outcome"`
	// Cause has a * for names and numbers.
	Cause string `json:"cause"`
	// First and Last are the times of the first and last one, Example is the ID of
	// the first.
	First   string `json:"first"`
	Last    string `json:"last"`
	Example string `json:"example"`
}

var (
	logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
	// name matches what differs between failures of one cause.
	name = regexp.MustCompile(`"[^"]*"|\S*\d\S*`)
)

// Add reads one line.
func (c *Summary) Add(line string) {
	if strings.Contains(line, `message="log lines left out"`) {
		c.DropReports++
		return
	}
	if !strings.Contains(line, failedMessage) {
		return
	}
	f := make(map[string]string)
	for _, m := range logField.FindAllStringSubmatch(line, -1) {
		f[m[1]] = strings.ReplaceAll(strings.Trim(m[2], `"`), `\"`, `"`)
	}
	key := cause{f["service"], f["route"], f["kind"], name.ReplaceAllString(f["cause"], "*")}
	if c.sums == nil {
		c.sums, c.seconds = make(map[cause]*Group), make(map[string]map[int64]int)
	}
	s := c.sums[key]
	if s == nil {
		s = &Group{
			Service: key.service, Route: key.route, Kind: key.kind, Cause: key.text, Status: f["status"], Outcome: f["outcome"],
			First: f["timestamp"], Last: f["timestamp"], Example: f["id"],
		}
		c.sums[key] = s
	}
	s.Count++
	if f["timestamp"] < s.First {
		s.First, s.Example = f["timestamp"], f["id"]
	}
	s.Last = max(s.Last, f["timestamp"])
	c.count(key.kind, f["timestamp"])
}

func (c *Summary) count(kind, timestamp string) {
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		c.InvalidTimes++
		return
	}
	if c.seconds[kind] == nil {
		c.seconds[kind] = make(map[int64]int)
	}
	c.seconds[kind][at.Unix()]++
}

// Groups returns the causes, the most frequent first.
func (c *Summary) Groups() []Group {
	all := make([]Group, 0, len(c.sums))
	for _, s := range c.sums {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Group) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Kind+a.Route+a.Cause, b.Kind+b.Route+b.Cause))
	})
	return all
}

// WriteTable writes one line for each cause.
func (c *Summary) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "count\tservice\troute\tkind\tstatus\toutcome\tfirst\tlast\texample\tcause")
	for _, s := range c.Groups() {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Count, s.Service, s.Route, s.Kind, s.Status, s.Outcome, s.First, s.Last, s.Example, s.Cause)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if c.DropReports > 0 {
		fmt.Fprintf(out, "the logs report %d times that lines were left out, so there may be more failures\n", c.DropReports)
	}
	if c.InvalidTimes > 0 {
		fmt.Fprintf(out, "%d failures have no time that can be read; the plot leaves them out\n", c.InvalidTimes)
	}
	return nil
}

// WriteJSON writes the causes as an array.
func (c *Summary) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(c.Groups())
}

// kinds returns the kinds of failures in order.
func (c *Summary) kinds() []string { return slices.Sorted(maps.Keys(c.seconds)) }
