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

// signal NAME SIGNAL sends a signal to a process.
func (w *world) signal(args []string) error {
	p := w.processes[args[0]]
	signal, ok := signals[args[1]]
	if p == nil || !ok {
		return fmt.Errorf("signal NAME %v: no such process or signal", signals)
	}
	if signal == syscall.SIGTERM {
		w.moveCallers(args[0])
	}
	return p.cmd.Process.Signal(signal)
}

// moveCallers takes callers away from a node that is about to stop, as a
// rolling replacement does.
func (w *world) moveCallers(name string) {
	for _, a := range w.nodes {
		if a.id == name {
			w.callers.Avoid(a.caller)
		}
	}
}

// ended NAME waits until a process has ended.
func (w *world) ended(args []string) error {
	select {
	case <-w.processes[args[0]].done:
		return nil
	case <-time.After(2 * awaitTimeout):
		return fmt.Errorf("%s still runs", args[0])
	}
}

// restart NAME starts a process that has ended again, with the same arguments.
func (w *world) restart(args []string) error {
	old := w.processes[args[0]]
	if old == nil {
		return fmt.Errorf("no process %s", args[0])
	}
	<-old.done
	return w.run(args[0], old.args...)
}

// journals reads the journals, which survive a crash of their server.
func (w *world) journals() (string, error) {
	files, err := filepath.Glob(filepath.Join(w.dir, "*.journal"))
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

// crashed MAX checks that at least one and at most MAX servers ended by a crash.
func (w *world) crashed(args []string) error {
	limit, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	ended := 0
	for name, p := range w.processes {
		select {
		case <-p.done:
			if strings.HasPrefix(name, "s") && p.cmd.ProcessState.ExitCode() == crashCode {
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

// crashCode is the exit code of a stand-in that a request crashed.
const crashCode = 3
