package operator

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// clientTimeout limits one command. It is long enough for a report, which queries
// every node and writes to the object store.
const clientTimeout = 30 * time.Second

// directClient uses no HTTP proxy, because nodes are addressed by IP address.
var directClient = &http.Client{Transport: &http.Transport{IdleConnTimeout: clientTimeout}}

// Client sends commands to the first available of several nodes.
type Client struct {
	// Nodes are base URLs of operator addresses, tried in order.
	Nodes []string
	Token string
	// JSON requests the result as JSON instead of text.
	JSON bool
	HTTP *http.Client
	// ReadFile reads the file of an apply command; nil means os.ReadFile.
	ReadFile func(name string) ([]byte, error)
}

// Run sends one command and returns the rendered result. The file that an apply
// command names is sent with it. A change has the same ID and base on every node that
// is tried, so it is accepted at most once even if a reply is lost.
func (c Client) Run(ctx context.Context, command string) (string, error) {
	header := http.Header{"Accept": {typeText}}
	if c.JSON {
		header.Set("Accept", typeJSON)
	}
	command, err := c.attachDocument(command)
	if err != nil {
		return "", err
	}
	if isChange(command) {
		base, err := c.tryNodes(ctx, http.MethodGet, PathVersion, "", header)
		if err != nil {
			return "", err
		}
		header.Set(HeaderID, NewChangeID())
		header.Set(HeaderBase, strings.TrimSpace(base))
	}
	return c.tryNodes(ctx, http.MethodPost, PathCommand, command, header)
}

// attachDocument appends the content of the file that an apply command names, unless
// a document follows the command already.
func (c Client) attachDocument(command string) (string, error) {
	line, document := cutDocument(command)
	cmd, err := parse(line)
	if err != nil || cmd.Apply == nil || cmd.Apply.File == "" || document != "" {
		// The node reports the error of a command that does not parse.
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

// isChange reports whether the command is a change. It is false for a command that
// does not parse, whose error is reported by the node.
func isChange(command string) bool {
	cmd, err := parse(command)
	return err == nil && cmd.clauses() != nil
}

// tryNodes sends the request to the nodes in turn until one answers. Nodes that
// cannot be reached or are stopping are skipped.
func (c Client) tryNodes(ctx context.Context, method, path, body string, header http.Header) (string, error) {
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
		return "", unreachableError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := checkReply(resp); err != nil {
		return "", unreachableError(err)
	}
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "", unreachableError(err)
	case resp.StatusCode == http.StatusOK:
		return string(text), nil
	default:
		return "", readProblem(resp, text)
	}
}

// checkReply returns an error if the reply cannot be that of a node, which states where each
// body ends.
func checkReply(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return eris.New("the reply does not state its length")
	}
	return cmp.Or(call.CheckStatus(resp.StatusCode), call.CheckNames(resp.Header))
}

func unreachableError(err error) error {
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

// Shell reads commands line by line and prints results and errors until the end
// of the input, exit or quit.
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

// ExitCode maps the error of a command to a process exit code.
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
