package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["pipe"] = pipe }

const (
	// pipeDeadline is the deadline of the lookups.
	pipeDeadline = 1200 * time.Millisecond
	// answerPause is how long a client still reads behind an answer that closes the
	// connection.
	answerPause = 300 * time.Millisecond
)

// pipe stops one node with SIGTERM while its clients have two lookups under way on each
// kept connection. Rule LOST: around a SIGTERM, no connection ends without the answer to a
// request that was read whole more than lossSlack before.
func pipe(d *deployment, o options) (bool, error) {
	d.configure(
		route{"/stock/", "idempotent", "estoque", pipeDeadline, 2},
		route{"/reserve/", "non_idempotent", "estoque", 800 * time.Millisecond, 2},
	)
	if err := d.addHosts(4, 0); err != nil {
		return false, err
	}
	for _, h := range d.hosts {
		h.server.setWork(400 * time.Millisecond)
	}
	h := d.hosts[1]
	const count = 8
	var pipes []*pipedConn
	for n := range count {
		conn, err := net.Dial("tcp", h.callers())
		if err != nil {
			return false, err
		}
		defer conn.Close()
		p := &pipedConn{deployment: d, number: n, conn: conn, reader: bufio.NewReader(conn)}
		if lost := p.exchange(1); lost > 0 {
			return false, fmt.Errorf("connection %d does not work", n)
		}
		pipes = append(pipes, p)
	}
	if o.trouble {
		h.signal(syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
	}
	var wg sync.WaitGroup
	lost := make([]int, count)
	for n, p := range pipes {
		wg.Go(func() { lost[n] = p.exchange(2) })
	}
	wg.Wait()
	sum := 0
	for _, n := range lost {
		sum += n
	}
	d.note("%d connections with two lookups each; %d lookups got no answer before their connection ended, later than %s after they were sent and before their deadline",
		count, sum, lossSlack)
	return sum == 0, nil
}

// pipedConn is a client's connection on which requests are sent behind one another.
type pipedConn struct {
	*deployment
	number, sent int
	conn         net.Conn
	reader       *bufio.Reader
}

// exchange sends n lookups at once and returns how many of them are lost by rule LOST.
func (p *pipedConn) exchange(n int) (lost int) {
	text, ids := "", make([]string, n)
	for i := range n {
		p.sent++
		ids[i] = fmt.Sprintf("%08x%08x", p.number, p.sent)
		text += fmt.Sprintf("GET /stock/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", ids[i], hostName, ids[i], pipeDeadline.Milliseconds())
	}
	sent := time.Now()
	if _, err := io.WriteString(p.conn, text); err != nil {
		return 0
	}
	p.write("connection %d: lookups %v are sent", p.number, ids)
	_ = p.conn.SetReadDeadline(sent.Add(pipeDeadline + time.Second))
	for i, id := range ids {
		response, err := http.ReadResponse(p.reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		took := time.Since(sent)
		if err != nil {
			p.write("connection %d ends without an answer to %v after %s: %v", p.number, ids[i:], took.Truncate(time.Millisecond), err)
			if took > lossSlack && took < pipeDeadline {
				return n - i
			}
			return 0
		}
		p.write("connection %d: lookup %s is answered %d after %s, the last answer: %t", p.number, id, response.StatusCode, took.Truncate(time.Millisecond), response.Close)
		if response.Close {
			_ = p.conn.SetReadDeadline(time.Now().Add(answerPause))
		}
	}
	return 0
}
