// Package causes groups the failed requests in the logs of nodes by cause.
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

// failedMessage is part of each log line about a failed request.
const failedMessage = `message="request failed"`

// Summary groups the failed requests in the logs of nodes by cause. The zero value is
// ready to use.
type Summary struct {
	groups map[groupKey]*Group
	// failuresAt holds the number of failures by kind and Unix time in seconds.
	failuresAt map[string]map[int64]int
	// DropReports counts log lines with which nodes report that they dropped lines.
	DropReports int
	// InvalidTimes counts failures whose timestamp cannot be parsed.
	InvalidTimes int
}

// groupKey identifies a Group.
type groupKey struct {
	service, route, kind, text string
}

// Group describes the failures with one cause.
type Group struct {
	Count   int    `json:"count"`
	Service string `json:"service"`
	Route   string `json:"route"`
	Kind    string `json:"kind"`
	Status  string `json:"status"`
	Outcome string `json:"outcome"`
	// Cause is the error message, with * in place of names and numbers.
	Cause string `json:"cause"`
	// First and Last are the timestamps of the first and last failure; Example is the
	// request ID of the first.
	First   string `json:"first"`
	Last    string `json:"last"`
	Example string `json:"example"`
}

var (
	logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
	// variablePart matches the names and numbers that differ between failures with the
	// same cause.
	variablePart = regexp.MustCompile(`"[^"]*"|\S*\d\S*`)
)

// Add adds one log line. Lines that are not about failed requests are ignored.
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
	key := groupKey{f["service"], f["route"], f["kind"], variablePart.ReplaceAllString(f["cause"], "*")}
	if c.groups == nil {
		c.groups, c.failuresAt = make(map[groupKey]*Group), make(map[string]map[int64]int)
	}
	s := c.groups[key]
	if s == nil {
		s = &Group{
			Service: key.service, Route: key.route, Kind: key.kind, Cause: key.text, Status: f["status"], Outcome: f["outcome"],
			First: f["timestamp"], Last: f["timestamp"], Example: f["id"],
		}
		c.groups[key] = s
	}
	s.Count++
	if f["timestamp"] < s.First {
		s.First, s.Example = f["timestamp"], f["id"]
	}
	s.Last = max(s.Last, f["timestamp"])
	c.countFailure(key.kind, f["timestamp"])
}

// countFailure adds a failure to failuresAt, or to InvalidTimes.
func (c *Summary) countFailure(kind, timestamp string) {
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		c.InvalidTimes++
		return
	}
	if c.failuresAt[kind] == nil {
		c.failuresAt[kind] = make(map[int64]int)
	}
	c.failuresAt[kind][at.Unix()]++
}

// Groups returns the failures by cause, the most frequent cause first.
func (c *Summary) Groups() []Group {
	all := make([]Group, 0, len(c.groups))
	for _, s := range c.groups {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Group) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Kind+a.Route+a.Cause, b.Kind+b.Route+b.Cause))
	})
	return all
}

// WriteTable writes a table with one line per cause.
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

// WriteJSON writes the groups as a JSON array.
func (c *Summary) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(c.Groups())
}

// kinds returns the kinds of failures in alphabetical order.
func (c *Summary) kinds() []string { return slices.Sorted(maps.Keys(c.failuresAt)) }
