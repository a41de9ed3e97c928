package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"
)

// gate is a handler whose requests run until they are released. The path of a request
// is its name.
type gate struct {
	mu sync.Mutex
	// begun lists the requests whose handler was called, ended those that returned.
	begun, ended []string
	release      map[string]chan struct{}
	cancelled    map[string]bool
}

func newGate(names ...string) *gate {
	g := &gate{release: make(map[string]chan struct{}), cancelled: make(map[string]bool)}
	for _, name := range names {
		g.release[name] = make(chan struct{})
	}
	return g
}

func (g *gate) handle(ctx context.Context, r *http.Request, _ []byte) *http.Response {
	name := strings.TrimPrefix(r.URL.Path, "/")
	g.mu.Lock()
	g.begun = append(g.begun, name)
	release := g.release[name]
	g.mu.Unlock()
	select {
	case <-release:
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.ended = append(g.ended, name)
	g.cancelled[name] = ctx.Err() != nil
	g.mu.Unlock()
	return Text(http.StatusOK, name)
}

func (g *gate) list(of *[]string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(*of, " ")
}

// await waits until the requests have begun, in any order.
func (g *gate) await(t assert.TestingT, names string) {
	poll.WaitOn(t.(poll.TestingT), func(poll.LogT) poll.Result {
		if got := g.list(&g.begun); !sameWords(got, names) {
			return poll.Continue("begun: %s", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

func sameWords(a, b string) bool {
	count := make(map[string]int)
	for _, w := range strings.Fields(a) {
		count[w]++
	}
	for _, w := range strings.Fields(b) {
		count[w]--
	}
	for _, n := range count {
		if n != 0 {
			return false
		}
	}
	return true
}

func (g *gate) serve(t *testing.T) *Server {
	t.Helper()
	s := &Server{Handler: g.handle, Repeatable: func(r *http.Request) bool { return r.Method == http.MethodGet }}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	return s
}

// pipelinedText returns one request for each name, a POST for names in capitals.
func pipelinedText(names string) string {
	var all strings.Builder
	for _, name := range strings.Fields(names) {
		method := http.MethodGet
		if strings.ToUpper(name) == name {
			method = http.MethodPost
		}
		fmt.Fprintf(&all, "%s /%s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", method, name)
	}
	return all.String()
}

// answers reads responses until the connection ends and returns their bodies; the
// status stands for a response other than 200, and close for its header.
func answers(c net.Conn) string {
	var all []string
	reader := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return strings.Join(all, " ")
		}
		body, _ := io.ReadAll(response.Body)
		text := strings.TrimSpace(string(body))
		if response.StatusCode != http.StatusOK {
			text = fmt.Sprint(response.StatusCode)
		}
		all = append(all, text)
		if response.Close {
			all = append(all, "close")
		}
	}
}

// Guards against requests behind one another on a connection that wait for each other
// although they may be repeated, and against ones that begin although they could be
// lost behind a close. In the table, names in capitals are not idempotent.
func TestPipelinedRequestsBegin(t *testing.T) {
	for name, c := range map[string]struct {
		sent string
		// steps lists the requests that have begun after each release.
		steps [][2]string
	}{
		"idempotent":              {"a b c d", [][2]string{{"", "a b c d"}}},
		"behind a non-idempotent": {"A b c", [][2]string{{"", "A"}, {"A", "A b c"}}},
		"before a non-idempotent": {"a b C d", [][2]string{{"", "a b"}, {"b", "a b"}, {"a", "a b C"}, {"C", "a b C d"}}},
		"two non-idempotent":      {"A B", [][2]string{{"", "A"}, {"A", "A B"}}},
		"idempotent between them": {"A b C", [][2]string{{"", "A"}, {"A", "A b"}, {"b", "A b C"}}},
		"answered out of order":   {"a b c", [][2]string{{"", "a b c"}, {"c", "a b c"}, {"b", "a b c"}, {"a", "a b c"}}},
		"last waits for its turn": {"a b c D", [][2]string{{"", "a b c"}, {"a", "a b c"}, {"c", "a b c"}, {"b", "a b c D"}}},
		"a single one":            {"A", [][2]string{{"", "A"}}},
		"a single idempotent":     {"a", [][2]string{{"", "a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(strings.Fields(c.sent)...)
			conn := dial(t, g.serve(t))
			_, err := io.WriteString(conn, pipelinedText(c.sent))
			assert.NilError(t, err)
			released := make(map[string]bool)
			for _, step := range c.steps {
				if step[0] != "" {
					close(g.release[step[0]])
					released[step[0]] = true
				}
				g.await(t, step[1])
			}
			for _, name := range strings.Fields(c.sent) {
				if !released[name] {
					close(g.release[name])
				}
			}
			got := make(chan string, 1)
			go func() { got <- answers(conn) }()
			g.await(t, c.sent)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if !sameWords(g.list(&g.ended), c.sent) {
					return poll.Continue("ended: %s", g.list(&g.ended))
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
			assert.Equal(t, <-got, c.sent)
		})
	}
}

// Guards against requests that have begun and get no answer because their connection
// closes behind an earlier answer.
func TestPipelinedRequestsBeforeClose(t *testing.T) {
	many := strings.TrimSpace(strings.Repeat("a ", maxPipelined+3))
	for name, c := range map[string]struct {
		sent, behind string
		drain        bool
		// begun are the requests that begin before any is answered.
		begun, want string
	}{
		"drain":                   {sent: "a b c", drain: true, begun: "a b c", want: "a b c close"},
		"drain with waiting ones": {sent: "a b C d", drain: true, begun: "a b", want: "a b C d close"},
		"drain at one that waits": {sent: "A b", drain: true, begun: "A", want: "A b close"},
		"bad request behind":      {sent: "a b", behind: "G@T / HTTP/1.1\r\n\r\n", begun: "a b", want: "a b 400 close"},
		"bad request behind one":  {sent: "A", behind: "G@T / HTTP/1.1\r\n\r\n", begun: "A", want: "A 400 close"},
		"caller closes":           {sent: "a", behind: "GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + pipelinedText("c"), begun: "a b", want: "a b close"},
		"too many":                {sent: many, begun: strings.TrimSpace(strings.Repeat("a ", maxPipelined)), want: strings.TrimSpace(strings.Repeat("a ", maxPipelined)) + " close"},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate("a", "b", "c", "d", "A", "C")
			s := g.serve(t)
			conn := dial(t, s)
			_, err := io.WriteString(conn, pipelinedText(c.sent)+c.behind)
			assert.NilError(t, err)
			g.await(t, c.begun)
			left := make(chan int, 1)
			if c.drain {
				go func() { left <- s.Drain(t.Context(), 0) }()
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if !s.isDraining() {
						return poll.Continue("not draining")
					}
					return poll.Success()
				}, poll.WithDelay(time.Millisecond))
			}
			for _, release := range g.release {
				close(release)
			}
			assert.Equal(t, answers(conn), c.want)
			answered := strings.TrimSuffix(strings.ReplaceAll(c.want, " 400", ""), " close")
			assert.Assert(t, sameWords(g.list(&g.begun), answered), "begun: %s", g.list(&g.begun))
			if c.drain {
				assert.Equal(t, <-left, 0)
			}
		})
	}
}

// Guards against requests that go on after their caller has left, and against memory
// that they hold.
func TestPipelinedRequestsAreCancelled(t *testing.T) {
	g := newGate("a", "b", "C")
	s := g.serve(t)
	conn := dial(t, s)
	_, err := io.WriteString(conn, pipelinedText("a b C"))
	assert.NilError(t, err)
	g.await(t, "a b")
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.Tick()
		if open, _ := s.Conns(); open > 0 || !sameWords(g.list(&g.ended), "a b") {
			return poll.Continue("%d open, ended: %s", open, g.list(&g.ended))
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	assert.Assert(t, g.cancelled["a"] && g.cancelled["b"])
	assert.Assert(t, sameWords(g.list(&g.begun), "a b"))
}

// Guards against a panic of a handler that ends the process or leaves the caller
// without an answer.
func TestPanicGetsAnAnswer(t *testing.T) {
	panics := make(chan any, 3)
	s := &Server{
		Handler:    func(context.Context, *http.Request, []byte) *http.Response { panic("broken") },
		Repeatable: func(*http.Request) bool { return true },
		Panicked:   func(cause any, _ []byte) { panics <- cause },
	}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	conn := dial(t, s)
	_, err := io.WriteString(conn, pipelinedText("a b")+"GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, answers(conn), "500 500 500 close")
	for range cap(panics) {
		assert.Equal(t, <-panics, "broken")
	}
}

// Guards against a second answer, a lost one or a wrong order, for any mix of requests,
// split of the input and order in which the handlers return.
func TestPipelineModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, maxPipelined).Draw(t, "requests")
		var names []string
		for i := range n {
			format := rapid.SampledFrom([]string{"r%d", "R%d"}).Draw(t, "kind")
			names = append(names, fmt.Sprintf(format, i))
		}
		g := newGate(names...)
		running, overlap := 0, ""
		s := &Server{Repeatable: func(r *http.Request) bool { return r.Method == http.MethodGet }}
		s.Handler = func(ctx context.Context, r *http.Request, body []byte) *http.Response {
			g.mu.Lock()
			running++
			if r.Method == http.MethodPost && running > 1 {
				overlap = r.URL.Path
			}
			g.mu.Unlock()
			response := g.handle(ctx, r, body)
			g.mu.Lock()
			running--
			g.mu.Unlock()
			return response
		}
		assert.NilError(t, s.Listen("127.0.0.1:0"))
		defer s.Close()
		conn, err := net.Dial("tcp", s.Addr())
		assert.NilError(t, err)
		defer conn.Close()
		input := pipelinedText(strings.Join(names, " "))
		go func() {
			for len(input) > 0 {
				cut := min(len(input), 1+len(input)/3)
				_, _ = io.WriteString(conn, input[:cut])
				input = input[cut:]
			}
		}()
		for _, name := range rapid.Permutation(names).Draw(t, "order") {
			close(g.release[name])
		}
		reader := bufio.NewReader(conn)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		for _, name := range names {
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, strings.TrimSpace(string(body)), name)
		}
		assert.Equal(t, overlap, "")
		assert.Assert(t, sameWords(g.list(&g.begun), strings.Join(names, " ")))
	})
}
