package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Verb documents one command. A test checks that docs/operators.md contains its
// example.
type Verb struct{ Name, Summary, Syntax, Example string }

// Verbs lists the commands of the language.
var Verbs = []Verb{
	{"show", "list the state of a node: configuration, servers, decisions, reports", `show TARGET [ARGUMENT] [of SERVICE] [as text|json|svg] [where COLUMN OP VALUE [and ...]] [limit N]`, `show servers of stock where region = poa and queued > 3 limit 20`},
	{"explain", "show what all nodes decided about one request, and why", `explain REQUEST-ID`, `explain 4f2a90c1`},
	{"create", "add a service, tenant or class", `create service|tenant|class NAME [with FIELD = VALUE, ...] because "REASON"`, `create service stock with queue = 64, retry.limit = 1 because "new stock lookups"`},
	{"set", "change fields of the configuration", `set PATH = VALUE, ... because "REASON"`, `set services.stock.rules."POST /stock/lookup" = idempotent because "lookups may be retried"`},
	{"remove", "remove a field or an entry, so that defaults apply", `remove PATH because "REASON"`, `remove tenants.geada because "contract ended"`},
	{"drain", "send no new work to a server", `drain SERVER of SERVICE [off] because "REASON"`, `drain poa-a-7 of stock because "cold room 7 is being serviced"`},
	{"apply", "submit a whole configuration document", `apply [FILE] because "REASON"`, `apply configuration.yaml on 12 because "rules of the new cold rooms"`},
	{"diff", "compare two versions of the configuration", `diff [FROM [TO]]`, `diff 11 12`},
	{"undo", "revert the changes of one version", `undo VERSION because "REASON"`, `undo 12 because "p99 of dispatch doubled" dry run`},
	{"report", "compare latency, measuring and refusals before and after a change", `report VERSION [as text|json|svg] [unsaved]`, `report 12 as svg`},
	{"reset", "give a shard of at-most-once records a new owner and backup", `reset shard N of SERVICE because "REASON"`, `reset shard 3 of dispatch because "owner and backup were both replaced"`},
}

// parse parses the command, without the document that may follow an apply command.
func parse(text string) (*command, error) {
	text, _ = cutDocument(text)
	cmd, err := grammar.ParseString("", text)
	if err == nil {
		return cmd, nil
	}
	var located participle.Error
	if !errors.As(err, &located) {
		return nil, fault.New(fault.KindBadRequest, "%v", err)
	}
	return nil, errorAt(text, located.Position(), located.Message()).WithRemedy(usage(text))
}

// cutDocument splits the text of an apply command into the command line and the
// document on the lines below. The document of other commands is empty.
func cutDocument(text string) (command, document string) {
	if words := strings.Fields(text); len(words) == 0 || words[0] != "apply" {
		return text, ""
	}
	command, document, _ = strings.Cut(strings.TrimLeft(text, " \t\r\n"), "\n")
	return strings.TrimRight(command, "\r"), document
}

// errorAt returns an error that marks a column of the command.
func errorAt(text string, pos lexer.Position, format string, args ...any) *fault.Error {
	column := max(pos.Column, 1)
	if len(args) > 0 {
		format = fmt.Sprintf(format, args...)
	}
	return fault.New(fault.KindBadRequest, "column %d: %s\n  %s\n  %s^\n", column, format, text, strings.Repeat(" ", column-1))
}

// withPosition marks the column in an error about one field. Other kinds of error
// are returned unchanged.
func withPosition(text string, pos lexer.Position, err error) error {
	if !fault.Is(err, fault.KindBadRequest) && !fault.Is(err, fault.KindNotFound) {
		return err
	}
	e := fault.As(err)
	located := errorAt(text, pos, "%s", e.Detail).WithRemedy(e.Remedy)
	located.Kind, located.Status = e.Kind, e.Status
	return located
}

// usage returns the remedy for a command that does not parse.
func usage(text string) string {
	first, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	names := make([]string, len(Verbs))
	for i, v := range Verbs {
		names[i] = v.Name
		if v.Name == first {
			return "write " + v.Syntax + ", for example: " + v.Example
		}
	}
	return "begin with one of " + strings.Join(names, ", ")
}
