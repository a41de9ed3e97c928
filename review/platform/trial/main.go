// Command trial plays one case of the review: it starts nodes as separate processes on
// loopback addresses, with stand-ins for the store, the backend servers and the clients,
// and checks one rule from what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

// trials holds the cases by name. A case returns what broke the rule, or nothing.
var trials = map[string]func(d *deployment, trouble bool) (broken []string, err error){}

// Exit codes of the program.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	names := make([]string, 0, len(trials))
	for name := range trials {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, "usage: trial CASE RECORD, where CASE is one of %s\n", strings.Join(names, ", "))
		return exitNotRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.log("case %s, disruption %v", os.Args[1], trouble)
	d := &deployment{recorder: record}
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := trials[os.Args[1]](d, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		return report(record, r.broken, r.err)
	case s := <-signals:
		record.log("stopped by %s", s)
	case <-time.After(timeLimit):
		record.log("no result after %s", timeLimit)
	}
	return exitNotRun
}

func report(record *recorder, broken []string, err error) int {
	switch {
	case err != nil:
		record.log("RESULT: the case could not run: %v", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			record.log("BROKEN: %s", b)
		}
		record.log("RESULT: the rule was broken")
		return exitBroken
	}
	record.log("RESULT: the rule held")
	return exitHeld
}
