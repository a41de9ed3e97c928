package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP,
}

// signal implements "signal NAME SIGNAL", which sends a signal to a process.
func (e *environment) signal(args []string) error {
	p := e.processes[args[0]]
	signal, ok := signals[args[1]]
	if p == nil || !ok {
		return fmt.Errorf("signal NAME %v: no such process or signal", signals)
	}
	if signal == syscall.SIGTERM {
		e.avoidNode(args[0])
	}
	return p.cmd.Process.Signal(signal)
}

// avoidNode makes the callers send no more requests to a node, as before a node is
// stopped in a rolling replacement.
func (e *environment) avoidNode(name string) {
	for _, a := range e.nodes {
		if a.id == name {
			e.callers.Avoid(a.caller)
		}
	}
}

// ended implements "ended NAME", which waits until a process has exited.
func (e *environment) ended(args []string) error {
	select {
	case <-e.processes[args[0]].done:
		return nil
	case <-time.After(2 * awaitTimeout):
		return fmt.Errorf("%s has not exited", args[0])
	}
}

// restart implements "start NAME", which starts a process again after it has exited,
// with the same arguments.
func (e *environment) restart(args []string) error {
	old := e.processes[args[0]]
	if old == nil {
		return fmt.Errorf("no process %s", args[0])
	}
	<-old.done
	return e.startProcess(args[0], old.args...)
}

// readJournals returns the text of all servers' journals. The files survive crashes of
// the servers.
func (e *environment) readJournals() (string, error) {
	files, err := filepath.Glob(filepath.Join(e.dir, "*.journal"))
	if err != nil {
		return "", err
	}
	var all strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return "", err
		}
		all.Write(text)
	}
	return all.String(), nil
}

// crashed implements "crashed MAX", which checks that at least one and at most MAX
// servers were crashed by a request.
func (e *environment) crashed(args []string) error {
	limit, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	ended := 0
	for name, p := range e.processes {
		select {
		case <-p.done:
			if strings.HasPrefix(name, "s") && p.cmd.ProcessState.ExitCode() == crashExitCode {
				ended++
			}
		default:
		}
	}
	if ended < 1 || ended > limit {
		return fmt.Errorf("%d servers crashed, want 1 to %d", ended, limit)
	}
	return nil
}

// crashExitCode is the exit code of a stand-in server that was crashed by a request.
const crashExitCode = 3
