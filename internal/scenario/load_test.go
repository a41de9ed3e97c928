package scenario

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// runningLoad is a load in the background.
type runningLoad struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (r *runningLoad) stop() {
	r.cancel()
	<-r.done
}

// load start [query] | load avoid|use nN | load more N | load stop runs callers in the background;
// more waits until N further requests were sent.
func (w *world) load(args []string) error {
	switch args[0] {
	case "start":
		if len(args) > 1 {
			w.callers.Query = args[1]
		}
		ctx, cancel := context.WithCancel(context.Background())
		r := &runningLoad{cancel: cancel, done: make(chan struct{})}
		go func() {
			defer close(r.done)
			w.callers.Run(ctx)
		}()
		w.running = r
		return nil
	case "avoid":
		w.moveCallers(args[1])
		return nil
	case "use":
		a, err := w.nodeOf(args[1])
		w.callers.Use(a.caller)
		return err
	case "more":
		return w.loadMore(args[1])
	case "stop":
		w.running.stop()
		w.running = nil
		w.callers.Write(os.Stderr)
		return nil
	default:
		return fmt.Errorf("load start|more|stop")
	}
}

func (w *world) loadMore(count string) error {
	n, err := strconv.ParseInt(count, 10, 64)
	if err != nil {
		return err
	}
	want := w.callers.Sent() + n
	return awaitCondition(func() error {
		if sent := w.callers.Sent(); sent < want {
			return fmt.Errorf("%d of %d requests sent", sent, want)
		}
		return nil
	})
}

// totals FIELD OP N compares a total (ran, refused, unknown, dropped).
func (w *world) totals(args []string) error {
	t := w.callers.Totals()
	values := map[string]int{"ran": t.Ran, "refused": t.Refused, "unknown": t.Unknown, "dropped": t.Dropped}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	got, ok := values[args[0]]
	holds := map[string]bool{"=": got == want, ">": got > want, "<": got < want}[args[1]]
	if !ok || !holds {
		return fmt.Errorf("totals %v, want %s; examples %v", values, strings.Join(args, " "), w.callers.Examples())
	}
	return nil
}

// check [except TEXT] compares what callers saw with the servers' journals.
func (w *world) check(args []string) error {
	runs, err := w.allRuns()
	if err != nil {
		return err
	}
	for _, c := range w.callers.Checks(runs) {
		if len(args) == 2 && args[0] == "except" && strings.Contains(c.Name, args[1]) {
			continue
		}
		if c.Violations > 0 {
			return fmt.Errorf("%s: violated %d times: %v", c.Name, c.Violations, c.Examples)
		}
	}
	return nil
}

// awaitCondition repeats until the condition holds or the time is up.
func awaitCondition(condition func() error) error {
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := condition()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(awaitPause)
	}
}
