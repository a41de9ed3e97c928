// Command trial-3 plays the scripts of the third review: it starts nodes as separate
// processes, with stand-ins for the platform, the backend servers and the clients, and
// checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// cases are the functions that play a case and report whether its rule held.
var cases = map[string]func(t *trial) (held bool, err error){}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial-3 CASE FOLDER")
		return exitFailed
	}
	t, err := newTrial(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer t.close()
	defer func() {
		if cause := recover(); cause != nil {
			t.record("panic: %v\n%s", cause, debug.Stack())
			code = exitFailed
		}
	}()
	t.record("case %s, trouble %t", os.Args[1], t.trouble)
	held, err := cases[os.Args[1]](t)
	switch {
	case err != nil:
		t.record("could not run: %v", err)
		return exitFailed
	case !held:
		t.record("result: the rule was broken")
		return exitBroken
	}
	t.record("result: the rule held")
	return exitHeld
}
