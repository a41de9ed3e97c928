package operator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// clientTimeout bounds one command; a report asks every node and the store.
const clientTimeout = 30 * time.Second

// directClient uses no proxy: nodes are named by IP number.
var directClient = &http.Client{Transport: &http.Transport{IdleConnTimeout: clientTimeout}}

// Client sends commands to any of several nodes.
type Client struct {
	// Nodes are base URLs of operator addresses, tried in order.
	Nodes []string
	Token string
	// JSON asks for JSON instead of text.
	JSON bool
	HTTP *http.Client
	// ReadFile reads the document that an apply names; nil means os.ReadFile.
	ReadFile func(name string) ([]byte, error)
}

// Run sends one command, with the file that an apply names, and returns the rendered result. A change is sent with
// one ID and base to every node that is tried, so it is accepted at most once
// even when an answer is lost.
func (c Client) Run(ctx context.Context, command string) (string, error) {
	header := http.Header{"Accept": {typeText}}
	if c.JSON {
		header.Set("Accept", typeJSON)
	}
	command, err := c.attach(command)
	if err != nil {
		return "", err
	}
	if changes(command) {
		base, err := c.try(ctx, http.MethodGet, PathVersion, "", header)
		if err != nil {
			return "", err
		}
		header.Set(HeaderID, NewChangeID())
		header.Set(HeaderBase, strings.TrimSpace(base))
	}
	return c.try(ctx, http.MethodPost, PathCommand, command, header)
}

// attach puts the file that an apply names below its line, unless a document
// stands there already.
func (c Client) attach(command string) (string, error) {
	line, document := cutDocument(command)
	cmd, err := parse(line)
	if err != nil || cmd.Apply == nil || cmd.Apply.File == "" || document != "" {
		// The node refuses a command that does not parse.
		return command, nil
	}
	read := c.ReadFile
	if read == nil {
		read = os.ReadFile
	}
	text, err := read(cmd.Apply.File)
	if err != nil {
		return "", fault.New(fault.KindBadRequest, "configuration: %v", err).WithRemedy("name a readable YAML file after apply")
	}
	if len(text) > config.MaxBody {
		return "", fault.New(fault.KindTooLarge, "%s has %d bytes; a configuration has at most %d", cmd.Apply.File, len(text), config.MaxBody).
			WithRemedy("remove unused services and servers")
	}
	return line + "\n" + string(text), nil
}

// changes reports whether the command is a change; one that does not parse is
// left to the node to refuse.
func changes(command string) bool {
	cmd, err := parse(command)
	return err == nil && cmd.clauses() != nil
}

// try sends the request to the nodes in turn until one answers it.
func (c Client) try(ctx context.Context, method, path, body string, header http.Header) (string, error) {
	err := error(fault.New(fault.KindUnreachable, "no node is named").WithRemedy("name the operator address of a node"))
	for _, node := range c.Nodes {
		var text string
		text, err = c.send(ctx, method, node+path, body, header)
		if !fault.Is(err, fault.KindUnreachable) && !fault.Is(err, fault.KindStopped) {
			return text, err
		}
	}
	return "", err
}

func (c Client) send(ctx context.Context, method, url, body string, header http.Header) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return "", fault.New(fault.KindBadRequest, "%v", err).WithRemedy("name a node as http://IP:PORT")
	}
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+c.Token)
	client := c.HTTP
	if client == nil {
		client = directClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", unreachable(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "", unreachable(err)
	case resp.StatusCode == http.StatusOK:
		return string(text), nil
	default:
		return "", readProblem(resp, text)
	}
}

func unreachable(err error) error {
	return fault.New(fault.KindUnreachable, "node: %v", err).
		WithRemedy("name another node; after a change, look at show versions before making it again")
}

func readProblem(resp *http.Response, text []byte) error {
	var p problem
	if err := json.Unmarshal(text, &p); err != nil || resp.Header.Get("Content-Type") != typeProblem {
		return fault.New(fault.KindInternal, "status %d from something that is not a node", resp.StatusCode).
			WithRemedy("check the operator address")
	}
	e := fault.New(fault.Kind(strings.TrimPrefix(p.Type, problemPrefix)), "%s", p.Detail).WithRemedy(p.Remedy)
	e.Status = p.Status
	return e
}

// Shell reads commands line by line and prints results and errors until the
// input ends or says exit.
func (c Client) Shell(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	for {
		_, _ = io.WriteString(out, "> ")
		if !lines.Scan() {
			return lines.Err()
		}
		switch line := strings.TrimSpace(lines.Text()); line {
		case "":
		case "exit", "quit":
			return nil
		default:
			text, err := c.Run(ctx, line)
			if err != nil {
				text = "error: " + err.Error() + "\n"
			}
			_, _ = fmt.Fprint(out, text)
		}
	}
}

// ExitCode returns the exit code of a command that ended with the error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case fault.Is(err, fault.KindBadRequest):
		return 2
	case fault.Is(err, fault.KindConflict):
		return 3
	case fault.Is(err, fault.KindStoreDown), fault.Is(err, fault.KindUnreachable), fault.Is(err, fault.KindWriteUnknown):
		return 4
	default:
		return 1
	}
}
