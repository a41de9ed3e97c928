package scenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/internal/standin/server"
)

const (
	// heapMetric is the heap memory that a node has obtained from the system. It never
	// decreases, so after a transfer it shows the peak.
	heapMetric = "go_memstats_heap_sys_bytes"
	// stableReads is the number of readings for which the memory must not grow.
	stableReads = 20
	chunkSize   = 64 << 10
)

// fetch implements "fetch nN PATH [HEADER=VALUE]...", which reads an answer and checks
// every byte. After the first chunk it stops reading until the memory of all nodes is
// stable, so that an answer would accumulate in a node without backpressure.
func (e *environment) fetch(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	response, err := e.startRequest(ctx, http.MethodGet, args[0], args[1], nil, args[2:])
	if err != nil {
		return err
	}
	defer response.Body.Close()
	e.lastAnswer = answer{status: response.StatusCode, outcome: response.Header.Get("Outcome"), header: response.Header}
	line := server.EchoLine(response.Header.Get("Request-Id"), args[1], nil)
	got, want := make([]byte, chunkSize), make([]byte, chunkSize)
	for total := 0; ; {
		n, err := io.ReadFull(response.Body, got)
		server.FillBody(want[:n], line, total)
		if !bytes.Equal(got[:n], want[:n]) {
			return fmt.Errorf("answer differs from what the server sent after %d bytes", total)
		}
		if total == 0 {
			if err := e.awaitStableMemory(); err != nil {
				return err
			}
		}
		total += n
		if err == io.ErrUnexpectedEOF {
			// The last chunk is short, or the answer was truncated.
			_, err = response.Body.Read(got)
		}
		if err == io.EOF {
			e.lastAnswer.text = fmt.Sprintf("%d bytes", total)
			return nil
		}
		if err != nil {
			return fmt.Errorf("read answer after %d bytes: %w", total, err)
		}
	}
}

// push implements "push nN PATH BYTES", which sends a request body of this size and
// checks the hash that the server has computed from it.
func (e *environment) push(args []string) error {
	size, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	body := make([]byte, size)
	server.FillBody(body, "the body of a large request, with a length that divides no buffer\n", 0)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	response, err := e.startRequest(ctx, http.MethodPut, args[0], args[1], bytes.NewReader(body), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	e.lastAnswer = answer{status: response.StatusCode, outcome: response.Header.Get("Outcome"), header: response.Header, text: string(text)}
	if line := server.EchoLine(response.Header.Get("Request-Id"), args[1], body); err == nil && e.lastAnswer.text != line {
		return fmt.Errorf("answer %d %.200q, want %q", e.lastAnswer.status, text, line)
	}
	return err
}

// startRequest sends a request through a node and returns the answer before its body
// is read.
func (e *environment) startRequest(ctx context.Context, method, name, path string, body io.Reader, headers []string) (*http.Response, error) {
	a, err := e.nodeByName(name)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.caller+path, body)
	if err != nil {
		return nil, err
	}
	for _, header := range headers {
		name, value, _ := strings.Cut(header, "=")
		r.Header.Set(name, value)
	}
	return e.client.Do(r)
}

// awaitStableMemory waits until the total memory of the nodes has not grown by more
// than a megabyte for stableReads readings. The tolerance is needed because reading
// the metrics allocates memory too.
func (e *environment) awaitStableMemory() error {
	last, same := 0.0, 0
	return awaitCondition(func() error {
		now := 0.0
		for _, a := range e.nodes {
			bytes, err := e.metric(a, heapMetric)
			if err != nil {
				return err
			}
			now += bytes
		}
		if now > last+1<<20 {
			last, same = now, 0
		}
		if same++; same < stableReads {
			return fmt.Errorf("memory of the nodes still grows: %.0f bytes", now)
		}
		return nil
	})
}

// memory implements "memory nN MB", which fails if the heap of a node ever obtained
// more than this number of megabytes from the system.
func (e *environment) memory(args []string) error {
	a, err := e.nodeByName(args[0])
	if err != nil {
		return err
	}
	limit, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	bytes, err := e.metric(a, heapMetric)
	if err == nil && bytes > limit*(1<<20) {
		err = fmt.Errorf("heap of %s obtained %.1f MB, want at most %.0f", args[0], bytes/(1<<20), limit)
	}
	return err
}

// metric reads the value of one metric of a node.
func (e *environment) metric(a nodeAddrs, name string) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.operator+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	response, err := e.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, fmt.Errorf("%s exports no %s", a.id, name)
}
