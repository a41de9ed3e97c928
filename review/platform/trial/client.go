package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id      string
	machine *machine
	sent    time.Time
	ended   time.Time
	// status is 0 if there was no complete answer.
	status int
	sealed bool
	// kept is set if the connection had carried a request before.
	kept bool
	err  error
}

// request is one request of a client.
type request struct {
	method, path, id string
	body             []byte
	// chunk is the size of the chunks in which the body is sent; zero means that it is
	// sent with its length.
	chunk    int
	deadline time.Duration
}

// write writes the request in the form that its fields say.
func (r request) write(conn net.Conn) error {
	w := bufio.NewWriterSize(conn, 64<<10)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.deadline.Milliseconds())
	if r.chunk == 0 {
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", len(r.body))
		_, _ = w.Write(r.body)
		return w.Flush()
	}
	fmt.Fprint(w, "Transfer-Encoding: chunked\r\n\r\n")
	for chunk := range slices.Chunk(r.body, r.chunk) {
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	fmt.Fprint(w, "0\r\n\r\n")
	return w.Flush()
}

// clientPatience is how long after its deadline a client waits for the answer.
const clientPatience = 500 * time.Millisecond

// connection is a connection of a client to the node of its machine. The zero value with
// a machine is ready to use; it connects again when the connection has ended.
type connection struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
	used    int
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and waits for the answer.
func (c *connection) send(r request) result {
	out := result{id: r.id, machine: c.machine, sent: time.Now()}
	out.err = c.exchange(r, &out)
	out.ended = time.Now()
	if out.err != nil {
		c.close()
	}
	return out
}

func (c *connection) exchange(r request, out *result) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.ip+":8141", time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	}
	out.kept = c.used > 0
	c.used++
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + clientPatience))
	if err := r.write(c.conn); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return err
	}
	out.status, out.sealed = response.StatusCode, response.Header.Get("X-Response-Seal") != ""
	if response.Close {
		c.close()
	}
	return nil
}

// keepOrdering sends orders through machines on kept connections until ctx ends, and
// returns a function that waits for the last results.
func (d *deployment) keepOrdering(ctx context.Context, machines []*machine, perMachine int) (wait func() []result) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []result
	for _, m := range machines {
		for k := range perMachine {
			wg.Go(func() {
				c := connection{machine: m}
				defer c.close()
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("%s-%d-%d", strings.TrimPrefix(m.name, "sidecar-"), k, n)
					r := c.send(request{method: "POST", path: "/order/" + id, id: id, body: bytes.Repeat([]byte("o"), 300), deadline: 1500 * time.Millisecond})
					d.log("client of %s: %s got %d, seal %v, kept connection %v, error %v, after %s",
						m.name, id, r.status, r.sealed, r.kept, r.err, r.ended.Sub(r.sent).Round(time.Millisecond))
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
					pause := 20 * time.Millisecond
					if r.status != http.StatusOK {
						pause = 200 * time.Millisecond
					}
					time.Sleep(pause)
				}
			})
		}
	}
	return func() []result {
		wg.Wait()
		return results
	}
}
