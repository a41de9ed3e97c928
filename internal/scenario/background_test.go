package scenario

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// backgroundRequest is a request whose answer has not been checked yet.
type backgroundRequest struct {
	text   string
	cancel context.CancelFunc
	// done receives the answer. After an error, its text is the error message.
	done chan answer
}

// begin implements "begin METHOD nN PATH [HEADER=VALUE]...", which sends a request in
// the background.
func (e *environment) begin(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	b := backgroundRequest{text: fmt.Sprint(args), cancel: cancel, done: make(chan answer, 1)}
	if _, err := e.nodeByName(args[1]); err != nil {
		cancel()
		return err
	}
	e.pending = append(e.pending, b)
	go func() {
		response, err := e.startRequest(ctx, args[0], args[1], args[2], nil, args[3:])
		if err != nil {
			b.done <- answer{text: err.Error()}
			return
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			text = []byte(err.Error())
		}
		b.done <- answer{status: response.StatusCode, outcome: response.Header.Get("Outcome"), text: string(text)}
	}()
	return nil
}

// finish implements "finish STATUS OUTCOME", which waits for all background requests
// and checks their answers.
func (e *environment) finish(args []string) error {
	pending := e.pending
	e.pending = nil
	for _, b := range pending {
		defer b.cancel()
		got := <-b.done
		if strconv.Itoa(got.status) != args[0] || got.outcome != args[1] {
			return fmt.Errorf("%s: answer %d %s, want %v: %.300s", b.text, got.status, got.outcome, args, got.text)
		}
	}
	return nil
}

// leave implements "leave", which closes the connections of the background requests.
func (e *environment) leave([]string) error {
	for _, b := range e.pending {
		b.cancel()
		<-b.done
	}
	e.pending = nil
	return nil
}

// checkRuns checks how many requests on all servers, of those whose URI contains the
// text, are in the state running, canceled or ended.
func (e *environment) checkRuns(text, state, count string) error {
	counts := make(map[string]int)
	for _, a := range e.nodes {
		runs, err := e.serverRuns(a)
		if err != nil {
			return err
		}
		for _, r := range runs {
			switch {
			case !strings.Contains(r.URI, text):
			case r.Canceled:
				counts["canceled"]++
			case r.Ended:
				counts["ended"]++
			default:
				counts["running"]++
			}
		}
	}
	if strconv.Itoa(counts[state]) != count {
		return fmt.Errorf("runs of %q: %v, want %s %s", text, counts, count, state)
	}
	return nil
}

// checkRunning checks that a server runs at least the given number of requests.
func (e *environment) checkRunning(name, least string) error {
	a, err := e.nodeByName(name)
	if err != nil {
		return err
	}
	runs, err := e.serverRuns(a)
	if err != nil {
		return err
	}
	n := 0
	for _, r := range runs {
		if !r.Ended && !r.Canceled {
			n++
		}
	}
	if want, err := strconv.Atoi(least); err != nil || n < want {
		return fmt.Errorf("%s runs %d requests, want at least %s", name, n, least)
	}
	return nil
}
