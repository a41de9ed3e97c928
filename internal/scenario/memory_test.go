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
	// heapFigure is the memory that a node's heap has taken from the system. It
	// does not fall, so a reading after a transfer holds the peak.
	heapFigure   = "go_memstats_heap_sys_bytes"
	settledReads = 20
	pieceSize    = 64 << 10
)

// fetch nN PATH [HEADER=VALUE]... reads an answer and compares every byte with
// what the server was asked for. It stops after the first piece until the
// memory of every node has settled, so that an answer without back-pressure
// would pile up.
func (w *world) fetch(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	response, err := w.open(ctx, http.MethodGet, args[0], args[1], nil, args[2:])
	if err != nil {
		return err
	}
	defer response.Body.Close()
	w.last = answer{status: response.StatusCode, outcome: response.Header.Get("Outcome"), header: response.Header}
	proof := server.EchoLine(response.Header.Get("Request-Id"), args[1], nil)
	got, want := make([]byte, pieceSize), make([]byte, pieceSize)
	for total := 0; ; {
		n, err := io.ReadFull(response.Body, got)
		server.FillBody(want[:n], proof, total)
		if !bytes.Equal(got[:n], want[:n]) {
			return fmt.Errorf("answer differs from what the server sent after %d bytes", total)
		}
		if total == 0 {
			if err := w.settle(); err != nil {
				return err
			}
		}
		total += n
		if err == io.ErrUnexpectedEOF {
			// The last piece is short, or the answer was cut off.
			_, err = response.Body.Read(got)
		}
		if err == io.EOF {
			w.last.text = fmt.Sprintf("%d bytes", total)
			return nil
		}
		if err != nil {
			return fmt.Errorf("after %d bytes: %w", total, err)
		}
	}
}

// push nN PATH BYTES sends a body of so many bytes and compares the sum that
// the server made of it.
func (w *world) push(args []string) error {
	size, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	body := make([]byte, size)
	server.FillBody(body, "the body of a large request, with a length that divides no buffer\n", 0)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	response, err := w.open(ctx, http.MethodPut, args[0], args[1], bytes.NewReader(body), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	w.last = answer{status: response.StatusCode, outcome: response.Header.Get("Outcome"), header: response.Header, text: string(text)}
	if proof := server.EchoLine(response.Header.Get("Request-Id"), args[1], body); err == nil && w.last.text != proof {
		return fmt.Errorf("answer %d %.200q, want %q", w.last.status, text, proof)
	}
	return err
}

// open sends a request through a node and returns its answer unread.
func (w *world) open(ctx context.Context, method, name, path string, body io.Reader, headers []string) (*http.Response, error) {
	a, err := w.nodeOf(name)
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
	return w.client.Do(r)
}

// settle waits until the memory of the nodes together has not grown by a
// megabyte for a while; reading the metrics needs a little itself.
func (w *world) settle() error {
	last, same := 0.0, 0
	return awaitCondition(func() error {
		now := 0.0
		for _, a := range w.nodes {
			bytes, err := w.figure(a, heapFigure)
			if err != nil {
				return err
			}
			now += bytes
		}
		if now > last+1<<20 {
			last, same = now, 0
		}
		if same++; same < settledReads {
			return fmt.Errorf("memory of the nodes still grows: %.0f bytes", now)
		}
		return nil
	})
}

// memory nN MB fails if the heap of a node ever took more from the system.
func (w *world) memory(args []string) error {
	a, err := w.nodeOf(args[0])
	if err != nil {
		return err
	}
	limit, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	bytes, err := w.figure(a, heapFigure)
	if err == nil && bytes > limit*(1<<20) {
		err = fmt.Errorf("heap of %s took %.1f MB, want at most %.0f", args[0], bytes/(1<<20), limit)
	}
	return err
}

// figure reads one value of a node's metrics.
func (w *world) figure(a nodeAddrs, name string) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.operator+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	response, err := w.client.Do(r)
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
