package scenario

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/internal/standin/server"
)

// await answer STATUS OUTCOME [TEXT] | servers nN COUNT | version nN
// VERSION | log NAME TEXT | text TEXT SEND-ARGUMENTS |
// running sN COUNT | work TEXT STATE COUNT | quiet sN waits until the condition holds. answer does not wait.
func (w *world) await(args []string) error {
	switch args[0] {
	case "answer":
		return w.checkAnswer(args[1:])
	case "servers":
		return awaitCondition(func() error { return w.serversAt(args[1], args[2]) })
	case "log":
		return awaitCondition(func() error { return w.logged(args[1], args[2]) })
	case "version":
		return awaitCondition(func() error { return w.versionAt(args[1], args[2]) })
	case "text":
		return awaitCondition(func() error { return w.sendFor(args[1], args[2:]) })
	case "running":
		return awaitCondition(func() error { return w.runningAt(args[1], args[2]) })
	case "work":
		return awaitCondition(func() error { return w.workAt(args[1], args[2], args[3]) })
	case "quiet":
		return w.quiet(args[1])
	default:
		return fmt.Errorf("await answer|servers|version|log|text|running|work|quiet")
	}
}

func (w *world) checkAnswer(args []string) error {
	if strconv.Itoa(w.last.status) != args[0] || w.last.outcome != args[1] {
		return fmt.Errorf("answer %d %s, want %v: %.300s", w.last.status, w.last.outcome, args, w.last.text)
	}
	if len(args) > 2 && !strings.Contains(fmt.Sprint(w.last.header)+w.last.text, args[2]) {
		return fmt.Errorf("answer holds no %q: %v %.300s", args[2], w.last.header, w.last.text)
	}
	return nil
}

// awaitAll waits until every node serves callers and knows every server.
func (w *world) awaitAll(size int) error {
	for _, a := range w.nodes {
		if err := awaitCondition(func() error { return w.serversAt(a.id, strconv.Itoa(size)) }); err != nil {
			return err
		}
	}
	return nil
}

// sendFor sends a request and checks that the answer holds the text.
func (w *world) sendFor(text string, args []string) error {
	if err := w.send(args); err != nil {
		return err
	}
	if !strings.Contains(w.last.text, text) {
		return fmt.Errorf("answer %d holds no %q: %.200s", w.last.status, text, w.last.text)
	}
	return nil
}

// versionAt checks that a ready node has the configuration version in force.
func (w *world) versionAt(name, want string) error {
	a, err := w.nodeOf(name)
	if err != nil {
		return err
	}
	var state struct {
		Version uint64 `json:"version"`
	}
	if err := w.request(http.MethodGet, "http://"+a.operator+"/ready", "", &state); err != nil {
		return err
	}
	if strconv.FormatUint(state.Version, 10) != want {
		return fmt.Errorf("%s has version %d in force, want %s", name, state.Version, want)
	}
	return nil
}

// serversAt checks how many servers a node gives new work to.
func (w *world) serversAt(name, want string) error {
	a, err := w.nodeOf(name)
	if err != nil {
		return err
	}
	var state struct {
		Ready   bool `json:"ready"`
		Servers int  `json:"servers"`
	}
	if err := w.request(http.MethodGet, "http://"+a.operator+"/ready?service=stock", "", &state); err != nil {
		return err
	}
	if !state.Ready || strconv.Itoa(state.Servers) != want {
		return fmt.Errorf("%s: %+v, want %s servers", name, state, want)
	}
	return nil
}

func (w *world) logged(name, text string) error {
	log, err := os.ReadFile(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return err
	}
	if !strings.Contains(string(log), text) {
		return fmt.Errorf("log of %s holds no %q", name, text)
	}
	return nil
}

// quiet sN waits until a server has had no new request for a second while the
// load goes on, at most 3 seconds after the command: the bound on new work for
// a draining server.
func (w *world) quiet(name string) error {
	a, err := w.nodeOf(name)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	before, err := w.journalLength(a)
	if err != nil {
		return err
	}
	if err := w.loadMore("200"); err != nil {
		return err
	}
	after, err := w.journalLength(a)
	if err != nil {
		return err
	}
	if after != before {
		return fmt.Errorf("%s got %d new requests more than 3 s after it began to drain", name, after-before)
	}
	return nil
}

func (w *world) journalLength(a nodeAddrs) (int, error) {
	runs, err := w.runsOf(a)
	return len(runs), err
}

// runsOf reads the journal of the running server process.
func (w *world) runsOf(a nodeAddrs) ([]server.Run, error) {
	var runs []server.Run
	err := w.request(http.MethodGet, "http://"+a.server+"/journal", "", &runs)
	return runs, err
}

// command nN TEXT sends a command of the operators' language to a node.
func (w *world) command(args []string) error {
	a, err := w.nodeOf(args[0])
	if err != nil {
		return err
	}
	return w.operate(a, strings.Join(args[1:], " "))
}
