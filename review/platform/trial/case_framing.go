package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { trials["framing"] = framing }

// framing sends orders whose bodies come in chunks. With the disruption they carry one more
// end-to-end header, which records the transfer coding of an earlier hop.
func framing(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(2); err != nil {
		return nil, err
	}
	header := ""
	if trouble {
		header = "X-Original-Transfer-Encoding: chunked\r\n"
	}
	// The second body is the record of another order, as a client that archives its
	// traffic sends it.
	orders := map[string]string{
		"a1": "2 pallets of peas, cold room 4\n",
		"b2": "0\r\n\r\nPOST /order/archived HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: inner\r\nX-Deadline-Ms: 1200\r\nContent-Length: 0\r\n\r\n",
	}
	for _, id := range []string{"a1", "b2"} {
		if err := sendChunked(d, id, orders[id], header); err != nil {
			return nil, err
		}
	}
	time.Sleep(stableWindow)
	var broken []string
	for _, m := range d.machines {
		for _, a := range m.server.runs() {
			body, sent := orders[a.id]
			switch {
			case !sent:
				broken = append(broken, fmt.Sprintf("UNASKED: %s ran request %q (%s %s), which no client sent", m.name, a.id, a.method, a.uri))
			case a.body != len(body):
				broken = append(broken, fmt.Sprintf("UNASKED: %s ran request %q with a body of %d bytes; the client sent %d", m.name, a.id, a.body, len(body)))
			}
		}
		m.logLines("malformed HTTP")
	}
	return broken, nil
}

// sendChunked sends one order with a chunked body on its own connection and records the
// answers that arrive.
func sendChunked(d *deployment, id, body, header string) error {
	conn, err := net.DialTimeout("tcp", d.machines[0].ip+":8141", time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	request := "POST /order/" + id + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\n" + header +
		"Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	d.log("client sends %s: body of %d bytes with digest %08x, in one chunk; extra header %q", id, len(body), digest([]byte(body)), strings.TrimSpace(header))
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				d.log("connection of %s ended: %v", id, err)
			}
			return nil
		}
		text, _ := io.ReadAll(response.Body)
		d.log("client gets an answer on the connection of %s: %d, attempt %q, %q", id, response.StatusCode, response.Header.Get("X-Attempt-Id"), strings.TrimSpace(string(text)))
	}
}
