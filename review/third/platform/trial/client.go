package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// client is a client of one host, with one connection that it keeps open.
type client struct {
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	// leaveAfter is when the client closes its connection without the answer; zero means at
	// the deadline.
	leaveAfter time.Duration
}

func newClient(h *host) *client { return &client{host: h} }

// answer is what a client saw of one request.
type answer struct {
	status int
	body   string
	// sealed is set if the answer is a server's.
	sealed bool
	// cut is set if the connection ended without a whole answer.
	cut bool
	// wait is when the client may come again; zero if the answer does not say.
	wait time.Duration
	err  error
	took time.Duration
}

// String describes the answer.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%v after %s", a.err, a.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d after %s", a.status, a.took.Round(time.Millisecond))
}

// kind returns the status, or a word for an answer that did not come.
func (a answer) kind() string {
	switch {
	case a.cut:
		return "cut"
	case a.err != nil:
		return "none"
	}
	return strconv.Itoa(a.status)
}

// send sends a request and waits for its answer, at most until its deadline.
func (c *client) send(method, path, id string, body []byte, deadline time.Duration) (a answer) {
	began := time.Now()
	c.host.record("sent %s: %s %s at %s, body of %d bytes", id, method, path, c.host.name, len(body))
	defer func() {
		a.took = time.Since(began)
		c.host.record("answered %s: %s", id, a)
		if a.err != nil {
			c.close()
		}
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.addr(portCallers), time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	wait := deadline
	if c.leaveAfter > 0 {
		wait = c.leaveAfter
	}
	_ = c.conn.SetDeadline(began.Add(wait))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", method, path, id, deadline.Milliseconds(), len(body))
	buffers := net.Buffers{[]byte(head), body}
	_, sendErr := buffers.WriteTo(c.conn)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		if sendErr != nil {
			a.err = sendErr
		}
		timeout, ok := err.(net.Error)
		a.cut = !ok || !timeout.Timeout()
		return a
	}
	text, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(text), err
	a.cut, a.sealed = err != nil, err == nil && response.Header.Get("X-Response-Seal") != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		// Clients honour it up to a third of the time that they have left.
		a.wait = min(time.Duration(seconds*float64(time.Second)), (deadline-time.Since(began))/3)
	}
	if response.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
