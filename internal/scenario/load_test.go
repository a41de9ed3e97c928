package scenario

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// backgroundLoad controls callers that send requests in the background.
type backgroundLoad struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (r *backgroundLoad) stop() {
	r.cancel()
	<-r.done
}

// load implements "load start [QUERY] | avoid|use nN | more N | stop", which controls
// callers that send requests in the background. With more it waits until N further
// requests have been sent.
func (e *environment) load(args []string) error {
	switch args[0] {
	case "start":
		if len(args) > 1 {
			e.callers.Query = args[1]
		}
		ctx, cancel := context.WithCancel(context.Background())
		r := &backgroundLoad{cancel: cancel, done: make(chan struct{})}
		go func() {
			defer close(r.done)
			e.callers.Run(ctx)
		}()
		e.currentLoad = r
		return nil
	case "avoid":
		e.avoidNode(args[1])
		return nil
	case "use":
		a, err := e.nodeByName(args[1])
		e.callers.Use(a.caller)
		return err
	case "more":
		return e.loadMore(args[1])
	case "stop":
		e.currentLoad.stop()
		e.currentLoad = nil
		e.callers.Write(os.Stderr)
		return nil
	default:
		return fmt.Errorf("unknown command; use load start|avoid|use|more|stop")
	}
}

// loadMore waits until the callers have sent the given number of further requests.
func (e *environment) loadMore(count string) error {
	n, err := strconv.ParseInt(count, 10, 64)
	if err != nil {
		return err
	}
	want := e.callers.Sent() + n
	return awaitCondition(func() error {
		if sent := e.callers.Sent(); sent < want {
			return fmt.Errorf("%d of %d requests sent", sent, want)
		}
		return nil
	})
}

// totals implements "totals FIELD OP N", which compares a total of the callers (ran,
// refused, unknown, dropped) with a number.
func (e *environment) totals(args []string) error {
	t := e.callers.Totals()
	values := map[string]int{"ran": t.Ran, "refused": t.Refused, "unknown": t.Unknown, "dropped": t.Dropped}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	got, ok := values[args[0]]
	holds := map[string]bool{"=": got == want, ">": got > want, "<": got < want}[args[1]]
	if !ok || !holds {
		return fmt.Errorf("totals %v, want %s; examples %v", values, strings.Join(args, " "), e.callers.Examples())
	}
	return nil
}

// check implements "check [except TEXT]", which checks the answers of the callers
// against the servers' journals.
func (e *environment) check(args []string) error {
	runs, err := e.allRuns()
	if err != nil {
		return err
	}
	for _, c := range e.callers.Checks(runs) {
		if len(args) == 2 && args[0] == "except" && strings.Contains(c.Name, args[1]) {
			continue
		}
		if c.Violations > 0 {
			return fmt.Errorf("%s: violated %d times: %v", c.Name, c.Violations, c.Examples)
		}
	}
	return nil
}

// awaitCondition polls the condition until it holds or awaitTimeout has passed.
func awaitCondition(condition func() error) error {
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := condition()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}
