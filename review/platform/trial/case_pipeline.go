package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { trials["pipeline"] = pipeline }

const (
	// pipelined is how many lookups a client sends at once on its connection.
	pipelined = 3
	// lossSlack is that of the settings.
	lossSlack = 200 * time.Millisecond
)

// pipeline sends lookups behind one another on kept connections. With the disruption, the
// node gets SIGTERM before them.
func pipeline(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(2); err != nil {
		return nil, err
	}
	for _, m := range d.machines {
		m.server.work = 400 * time.Millisecond
	}
	m := d.machines[0]
	conns := make([]net.Conn, 3)
	readers := make([]*bufio.Reader, len(conns))
	for i := range conns {
		conn, err := net.DialTimeout("tcp", m.ip+":8141", time.Second)
		if err != nil {
			return nil, err
		}
		defer conn.Close()
		conns[i], readers[i] = conn, bufio.NewReader(conn)
		if n := d.exchangeLookups(conn, readers[i], fmt.Sprintf("first-%d", i), 1); n != 1 {
			return nil, fmt.Errorf("the first lookup on connection %d was not answered", i)
		}
	}
	if trouble {
		d.log("%s: SIGTERM", m.name)
		m.signal(syscall.SIGTERM)
	}
	lost := 0
	for i := range conns {
		time.Sleep(300 * time.Millisecond)
		sent := time.Now()
		answered := d.exchangeLookups(conns[i], readers[i], fmt.Sprintf("pipelined-%d", i), pipelined)
		if answered < pipelined && time.Since(sent) > lossSlack {
			lost += pipelined - answered
			d.log("%d lookups of connection %d had no answer when it ended, %s after their last byte", pipelined-answered, i, time.Since(sent).Round(time.Millisecond))
		}
	}
	m.logLines("connection of a caller was cut")
	if lost > 0 {
		return []string{fmt.Sprintf("LOST: %d lookups that the node had read got no answer around a SIGTERM", lost)}, nil
	}
	return nil, nil
}

// exchangeLookups sends n lookups at once and returns how many were answered before the
// connection ended.
func (d *deployment) exchangeLookups(conn net.Conn, reader *bufio.Reader, name string, n int) (answered int) {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "GET /look/%s-%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s-%d\r\nX-Deadline-Ms: 1200\r\n\r\n", name, i, host, name, i)
	}
	if _, err := io.WriteString(conn, text.String()); err != nil {
		d.log("%s: %v", name, err)
		return 0
	}
	d.log("client sends %s-0 to %s-%d", name, name, n-1)
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	for answered < n {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			d.log("connection of %s: %v", name, err)
			return answered
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			d.log("connection of %s: %v", name, err)
			return answered
		}
		answered++
		d.log("client gets %d for %q, close %v", response.StatusCode, response.Header.Get("X-Attempt-Id"), response.Close)
	}
	return answered
}
