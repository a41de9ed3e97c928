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

// await implements the command "await answer STATUS OUTCOME [TEXT] | servers nN
// COUNT | version nN VERSION | log NAME TEXT | text TEXT SEND-ARGUMENTS |
// running sN COUNT | work TEXT STATE COUNT | quiet sN". It waits until the condition
// holds, except for answer, which is checked at once.
func (e *environment) await(args []string) error {
	switch args[0] {
	case "answer":
		return e.checkAnswer(args[1:])
	case "servers":
		return awaitCondition(func() error { return e.checkServers(args[1], args[2]) })
	case "log":
		return awaitCondition(func() error { return e.checkLog(args[1], args[2]) })
	case "version":
		return awaitCondition(func() error { return e.checkVersion(args[1], args[2]) })
	case "text":
		return awaitCondition(func() error { return e.sendAndCheck(args[1], args[2:]) })
	case "running":
		return awaitCondition(func() error { return e.checkRunning(args[1], args[2]) })
	case "work":
		return awaitCondition(func() error { return e.checkRuns(args[1], args[2], args[3]) })
	case "quiet":
		return e.quiet(args[1])
	default:
		return fmt.Errorf("unknown condition; use await answer|servers|version|log|text|running|work|quiet")
	}
}

func (e *environment) checkAnswer(args []string) error {
	if strconv.Itoa(e.lastAnswer.status) != args[0] || e.lastAnswer.outcome != args[1] {
		return fmt.Errorf("answer %d %s, want %v: %.300s", e.lastAnswer.status, e.lastAnswer.outcome, args, e.lastAnswer.text)
	}
	if len(args) > 2 && !strings.Contains(fmt.Sprint(e.lastAnswer.header)+e.lastAnswer.text, args[2]) {
		return fmt.Errorf("answer does not contain %q: %v %.300s", args[2], e.lastAnswer.header, e.lastAnswer.text)
	}
	return nil
}

// awaitAll waits until every node is ready and sends new requests to all servers.
func (e *environment) awaitAll(size int) error {
	for _, a := range e.nodes {
		if err := awaitCondition(func() error { return e.checkServers(a.id, strconv.Itoa(size)) }); err != nil {
			return err
		}
	}
	return nil
}

// sendAndCheck sends a request and checks that the answer contains the text.
func (e *environment) sendAndCheck(text string, args []string) error {
	if err := e.send(args); err != nil {
		return err
	}
	if !strings.Contains(e.lastAnswer.text, text) {
		return fmt.Errorf("answer %d does not contain %q: %.200s", e.lastAnswer.status, text, e.lastAnswer.text)
	}
	return nil
}

// checkVersion checks that a ready node has the configuration version in force.
func (e *environment) checkVersion(name, want string) error {
	a, err := e.nodeByName(name)
	if err != nil {
		return err
	}
	var state struct {
		Version uint64 `json:"version"`
	}
	if err := e.httpRequest(http.MethodGet, "http://"+a.operator+"/ready", "", &state); err != nil {
		return err
	}
	if strconv.FormatUint(state.Version, 10) != want {
		return fmt.Errorf("%s has version %d in force, want %s", name, state.Version, want)
	}
	return nil
}

// checkServers checks to how many servers a ready node sends new requests.
func (e *environment) checkServers(name, want string) error {
	a, err := e.nodeByName(name)
	if err != nil {
		return err
	}
	var state struct {
		Ready   bool `json:"ready"`
		Servers int  `json:"servers"`
	}
	if err := e.httpRequest(http.MethodGet, "http://"+a.operator+"/ready?service=stock", "", &state); err != nil {
		return err
	}
	if !state.Ready || strconv.Itoa(state.Servers) != want {
		return fmt.Errorf("%s: %+v, want %s servers", name, state, want)
	}
	return nil
}

// checkLog checks that the log of a process contains the text.
func (e *environment) checkLog(name, text string) error {
	log, err := os.ReadFile(filepath.Join(e.dir, name+".log"))
	if err != nil {
		return err
	}
	if !strings.Contains(string(log), text) {
		return fmt.Errorf("log of %s does not contain %q", name, text)
	}
	return nil
}

// quiet implements the command "await quiet sN". It waits 3 seconds, the time limit
// for new requests to a draining server, and then checks that the server gets none
// of the next 200 requests of the load.
func (e *environment) quiet(name string) error {
	a, err := e.nodeByName(name)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	before, err := e.journalLength(a)
	if err != nil {
		return err
	}
	if err := e.loadMore("200"); err != nil {
		return err
	}
	after, err := e.journalLength(a)
	if err != nil {
		return err
	}
	if after != before {
		return fmt.Errorf("%s got %d new requests more than 3 s after the start of its drain", name, after-before)
	}
	return nil
}

// journalLength returns the number of runs in the journal of a server.
func (e *environment) journalLength(a nodeAddrs) (int, error) {
	runs, err := e.serverRuns(a)
	return len(runs), err
}

// serverRuns reads the journal of a running server process.
func (e *environment) serverRuns(a nodeAddrs) ([]server.Run, error) {
	var runs []server.Run
	err := e.httpRequest(http.MethodGet, "http://"+a.server+"/journal", "", &runs)
	return runs, err
}

// command implements "command nN TEXT", which sends an operator command to a node.
func (e *environment) command(args []string) error {
	a, err := e.nodeByName(args[0])
	if err != nil {
		return err
	}
	return e.operate(a, strings.Join(args[1:], " "))
}
