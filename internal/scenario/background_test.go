package scenario

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// background is a request whose answer is not yet compared.
type background struct {
	text   string
	cancel context.CancelFunc
	// done receives the answer, or the error in its text.
	done chan answer
}

// begin METHOD nN PATH [HEADER=VALUE]... sends a request in the background.
func (w *world) begin(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	b := background{text: fmt.Sprint(args), cancel: cancel, done: make(chan answer, 1)}
	if _, err := w.nodeOf(args[1]); err != nil {
		cancel()
		return err
	}
	w.begun = append(w.begun, b)
	go func() {
		response, err := w.open(ctx, args[0], args[1], args[2], nil, args[3:])
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

// finish STATUS OUTCOME waits for the requests in the background; each must
// have got that answer.
func (w *world) finish(args []string) error {
	begun := w.begun
	w.begun = nil
	for _, b := range begun {
		defer b.cancel()
		got := <-b.done
		if strconv.Itoa(got.status) != args[0] || got.outcome != args[1] {
			return fmt.Errorf("%s: answer %d %s, want %v: %.300s", b.text, got.status, got.outcome, args, got.text)
		}
	}
	return nil
}

// leave closes the connections of the requests in the background.
func (w *world) leave([]string) error {
	for _, b := range w.begun {
		b.cancel()
		<-b.done
	}
	w.begun = nil
	return nil
}

// workAt counts the runs, over all servers, whose target holds the text and
// that are running, canceled or ended.
func (w *world) workAt(text, state, count string) error {
	counts := make(map[string]int)
	for _, a := range w.nodes {
		runs, err := w.runsOf(a)
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
		return fmt.Errorf("work %q: %v, want %s %s", text, counts, count, state)
	}
	return nil
}

// runningAt checks that a server runs at least so many requests.
func (w *world) runningAt(name, least string) error {
	a, err := w.nodeOf(name)
	if err != nil {
		return err
	}
	runs, err := w.runsOf(a)
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
		return fmt.Errorf("%s runs %d requests, want %s", name, n, least)
	}
	return nil
}
