// Command trial runs one case of the second independent review: it starts nodes of
// vanillasail as separate processes, with stand-ins for their store, their backend
// servers and their callers, and checks one rule by what those see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

// options are the command line of a case.
type options struct {
	binary  string
	trouble bool
}

// scenario runs one case and reports whether the rule held.
type scenario func(d *deployment, o options) (ok bool, err error)

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("node", "target/vanillasail", "program of the node")
	flag.Parse()
	os.Exit(run(*name, *record, options{binary: *binary, trouble: os.Getenv("TROUBLE") != "0"}))
}

func run(name, path string, o options) int {
	scenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case has the name %q\n", name)
		return failed
	}
	r, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	r.note("case %s, with the disruption: %t", name, o.trouble)
	d, err := newDeployment(r, o)
	if err != nil {
		r.note("the case cannot run: %v", err)
		return failed
	}
	defer d.close()
	time.AfterFunc(maxTime, func() { d.abort("it takes too long") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() { d.abort((<-interrupted).String()) }()
	ok, err = scenario(d, o)
	switch {
	case err != nil:
		r.note("the case cannot run: %v", err)
		return failed
	case !ok:
		r.note("result: the rule was broken")
		return broken
	}
	r.note("result: the rule held")
	return held
}
