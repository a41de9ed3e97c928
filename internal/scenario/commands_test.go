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

// fault store QUERY | fault sN NAME VALUE | fault sN drain sets switches of a stand-in.
func (w *world) fault(args []string) error {
	if args[0] == "store" {
		return w.request(http.MethodPut, "http://"+w.store+"/fault?"+args[1], "", nil)
	}
	a, err := w.nodeOf(args[0])
	if err != nil {
		return err
	}
	if args[1] == "drain" {
		return w.request(http.MethodPost, "http://"+a.server+"/drain", "", nil)
	}
	return w.request(http.MethodPost, fmt.Sprintf("http://%s/fault/%s?value=%s", a.server, args[1], args[2]), "", nil)
}

// counted NAME FAULT shows that a fault reached its target at least once.
func (w *world) counted(args []string) error {
	counts := make(map[string]any)
	url := "http://" + w.store + "/counts"
	if args[0] != "store" {
		a, err := w.nodeOf(args[0])
		if err != nil {
			return err
		}
		url = "http://" + a.server + "/counts"
	}
	if err := w.request(http.MethodGet, url, "", &counts); err != nil {
		return err
	}
	if !injected(counts, args[1]) {
		return fmt.Errorf("fault %s was not injected: %v", args[1], counts)
	}
	return nil
}

// injected looks for a count above zero at any depth.
func injected(counts map[string]any, name string) bool {
	for key, value := range counts {
		if n, ok := value.(float64); ok && key == name && n > 0 {
			return true
		}
		if inner, ok := value.(map[string]any); ok && injected(inner, name) {
			return true
		}
	}
	return false
}

// path nN MODE [from nM...] sets the relay in front of node N to pass, cut or
// silent; with from, cut and pass concern the packets of these nodes only.
func (w *world) setPath(args []string) error {
	a, err := w.nodeOf(args[0])
	if err != nil {
		return err
	}
	query := url.Values{"value": {args[1]}}
	for _, name := range args[min(3, len(args)):] {
		from, err := w.nodeOf(name)
		if err != nil {
			return err
		}
		query.Add("from", from.peer)
	}
	return w.request(http.MethodPost, "http://"+a.relayAdmin+"/mode?"+query.Encode(), "", nil)
}

func (w *world) nodeOf(name string) (nodeAddrs, error) {
	i, err := strconv.Atoi(strings.TrimLeft(name, "nsr"))
	if err != nil || i >= len(w.nodes) {
		return nodeAddrs{}, fmt.Errorf("no node or server %q", name)
	}
	return w.nodes[i], nil
}

func (w *world) request(method, url, body string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := w.client.Do(r)
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

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	text    string
	header  http.Header
}

// send METHOD nN PATH [HEADER=VALUE]... sends one request through node N and
// keeps the answer for await answer.
func (w *world) send(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	response, err := w.open(ctx, args[0], args[1], args[2], nil, args[3:])
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	w.last = answer{status: response.StatusCode, outcome: response.Header.Get("Outcome"), text: string(text), header: response.Header}
	return err
}

// runs KEY N checks how often a key ran, by the servers' journals.
func (w *world) runs(args []string) error {
	text, err := w.journals()
	if err != nil {
		return err
	}
	if n := strings.Count(text, " key="+args[0]+" "); strconv.Itoa(n) != args[1] {
		return fmt.Errorf("key %s ran %d times, want %s:\n%s", args[0], n, args[1], text)
	}
	return nil
}

// allRuns returns every run in the journals of the servers.
func (w *world) allRuns() ([]server.Run, error) {
	text, err := w.journals()
	if err != nil {
		return nil, err
	}
	var all []server.Run
	for line := range strings.Lines(text) {
		var run server.Run
		fields := strings.Fields(line)
		if len(fields) != 4 {
			return nil, fmt.Errorf("journal line %q", line)
		}
		run.ID = strings.TrimPrefix(fields[1], "id=")
		run.Key = strings.TrimPrefix(fields[2], "key=")
		run.URI = strings.TrimPrefix(fields[3], "uri=")
		all = append(all, run)
	}
	return all, nil
}
