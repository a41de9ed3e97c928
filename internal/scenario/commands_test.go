package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/internal/standin/server"
)

// fault implements "fault store QUERY | sN NAME VALUE | sN drain", which sets fault
// switches of a stand-in.
func (e *environment) fault(args []string) error {
	if args[0] == "store" {
		return e.httpRequest(http.MethodPut, "http://"+e.store+"/fault?"+args[1], "", nil)
	}
	a, err := e.nodeByName(args[0])
	if err != nil {
		return err
	}
	if args[1] == "drain" {
		return e.httpRequest(http.MethodPost, "http://"+a.server+"/drain", "", nil)
	}
	return e.httpRequest(http.MethodPost, fmt.Sprintf("http://%s/fault/%s?value=%s", a.server, args[1], args[2]), "", nil)
}

// counted implements "counted NAME FAULT", which checks that a fault was injected at
// least once.
func (e *environment) counted(args []string) error {
	counts := make(map[string]any)
	url := "http://" + e.store + "/counts"
	if args[0] != "store" {
		a, err := e.nodeByName(args[0])
		if err != nil {
			return err
		}
		url = "http://" + a.server + "/counts"
	}
	if err := e.httpRequest(http.MethodGet, url, "", &counts); err != nil {
		return err
	}
	if !hasCount(counts, args[1]) {
		return fmt.Errorf("fault %s was not injected: %v", args[1], counts)
	}
	return nil
}

// hasCount reports whether the counts contain one above zero with the name, at any
// depth.
func hasCount(counts map[string]any, name string) bool {
	for key, value := range counts {
		if n, ok := value.(float64); ok && key == name && n > 0 {
			return true
		}
		if inner, ok := value.(map[string]any); ok && hasCount(inner, name) {
			return true
		}
	}
	return false
}

// setRelayMode implements "path nN MODE [from nM...]", which sets the mode of the
// relay in front of a node to pass, cut or silent. With from, cut and pass apply to
// the packets of these nodes only.
func (e *environment) setRelayMode(args []string) error {
	a, err := e.nodeByName(args[0])
	if err != nil {
		return err
	}
	query := url.Values{"value": {args[1]}}
	for _, name := range args[min(3, len(args)):] {
		from, err := e.nodeByName(name)
		if err != nil {
			return err
		}
		query.Add("from", from.peer)
	}
	return e.httpRequest(http.MethodPost, "http://"+a.relayAdmin+"/mode?"+query.Encode(), "", nil)
}

// nodeByName returns the addresses that belong to node nN, server sN or relay rN.
func (e *environment) nodeByName(name string) (nodeAddrs, error) {
	i, err := strconv.Atoi(strings.TrimLeft(name, "nsr"))
	if err != nil || i >= len(e.nodes) {
		return nodeAddrs{}, fmt.Errorf("no node or server %q", name)
	}
	return e.nodes[i], nil
}

// httpRequest sends a request, checks that its status is 2xx and decodes the JSON
// answer into out unless out is nil.
func (e *environment) httpRequest(method, url, body string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := e.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d: %s", url, response.StatusCode, text)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(bytes.NewReader(text)).Decode(out)
}

// answer is the answer to a request or an operator command.
type answer struct {
	status  int
	outcome string
	text    string
	header  http.Header
}

// send implements "send METHOD nN PATH [HEADER=VALUE]...", which sends one request
// through a node and keeps the answer for "await answer".
func (e *environment) send(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	response, err := e.startRequest(ctx, args[0], args[1], args[2], nil, args[3:])
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	e.lastAnswer = answer{status: response.StatusCode, outcome: response.Header.Get("Outcome"), text: string(text), header: response.Header}
	return err
}

// runs implements "runs KEY N", which checks in the servers' journals how often the
// request with a key ran.
func (e *environment) runs(args []string) error {
	text, err := e.readJournals()
	if err != nil {
		return err
	}
	if n := strings.Count(text, " key="+args[0]+" "); strconv.Itoa(n) != args[1] {
		return fmt.Errorf("key %s ran %d times, want %s:\n%s", args[0], n, args[1], text)
	}
	return nil
}

// allRuns returns all runs in the servers' journals.
func (e *environment) allRuns() ([]server.Run, error) {
	text, err := e.readJournals()
	if err != nil {
		return nil, err
	}
	var all []server.Run
	for line := range strings.Lines(text) {
		var run server.Run
		fields := strings.Fields(line)
		if len(fields) != 4 {
			return nil, fmt.Errorf("journal line %q does not have 4 fields", line)
		}
		run.ID = strings.TrimPrefix(fields[1], "id=")
		run.Key = strings.TrimPrefix(fields[2], "key=")
		run.URI = strings.TrimPrefix(fields[3], "uri=")
		all = append(all, run)
	}
	return all, nil
}
