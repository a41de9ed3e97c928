// Package operator implements the operators' query and command language, its HTTP
// API and client, access tokens, and reports on configuration changes.
package operator

import (
	"strconv"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// tokens are matched in order. Float comes before Word, because Word matches the
// beginning of a Float.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Float", Pattern: `[-+]?\d+\.\d+[a-z]*`},
	{Name: "Word", Pattern: `[-+]?[A-Za-z0-9_/][A-Za-z0-9_/-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "Punct", Pattern: `[.,]`},
	{Name: "Space", Pattern: `\s+`},
})

var grammar = participle.MustBuild[command](
	participle.Lexer(tokens),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// command is one parsed command. Exactly one field is set.
type command struct {
	Show    *show    `parser:"  'show' @@"`
	Explain *explain `parser:"| 'explain' @@"`
	Create  *create  `parser:"| 'create' @@"`
	Set     *set     `parser:"| 'set' @@"`
	Remove  *remove  `parser:"| 'remove' @@"`
	Drain   *drain   `parser:"| 'drain' @@"`
	Diff    *diff    `parser:"| 'diff' @@"`
	Undo    *undo    `parser:"| 'undo' @@"`
	Apply   *apply   `parser:"| 'apply' @@"`
	Report  *report  `parser:"| 'report' @@"`
	Reset   *reset   `parser:"| 'reset' @@"`
}

type show struct {
	Pos    lexer.Position
	Target string   `parser:"@('config' | 'document' | 'versions' | 'services' | 'servers' | 'tenants' | 'classes' | 'budgets' | 'decisions' | 'shards' | 'reports' | 'report')"`
	Arg    *path    `parser:"( (?! 'of' | 'as' | 'where' | 'limit') @@ )?"`
	Of     string   `parser:"( 'of' @(Word | String) )?"`
	As     string   `parser:"( 'as' @('text' | 'json' | 'svg') )?"`
	Where  []filter `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Limit  *number  `parser:"( 'limit' @@ )?"`
}

type filter struct {
	Pos    lexer.Position
	Column string `parser:"@(Word | String)"`
	Op     string `parser:"@Operator"`
	Value  value  `parser:"@@"`
}

type explain struct {
	Request string `parser:"@(Word | String | Float)"`
}

type create struct {
	Pos    lexer.Position
	Target string       `parser:"@('service' | 'tenant' | 'class')"`
	Name   string       `parser:"@(Word | String)"`
	Fields []assignment `parser:"( 'with' @@ ( ',' @@ )* )?"`
	Clause clauses      `parser:"@@"`
}

type set struct {
	Fields []assignment `parser:"@@ ( ',' @@ )*"`
	Clause clauses      `parser:"@@"`
}

type remove struct {
	Path   path    `parser:"@@"`
	Clause clauses `parser:"@@"`
}

type drain struct {
	Pos     lexer.Position
	Server  string  `parser:"@(Word | String)"`
	Service string  `parser:"'of' @(Word | String)"`
	Off     bool    `parser:"@'off'?"`
	Clause  clauses `parser:"@@"`
}

type diff struct {
	From *number `parser:"( @@"`
	To   *number `parser:"  @@? )?"`
}

type undo struct {
	Version number  `parser:"@@"`
	Clause  clauses `parser:"@@"`
}

// apply is followed by the document on the lines below the command. Clients read
// the document from File, and errors in the document are reported with that name.
type apply struct {
	Pos    lexer.Position
	File   string  `parser:"( (?! 'because' | 'on' | 'dry') ( @'.' )* @(Word | String) ( ( @'.' )+ @Word )* )?"`
	Clause clauses `parser:"@@"`
}

type report struct {
	Version number `parser:"@@"`
	As      string `parser:"( 'as' @('text' | 'json' | 'svg') )?"`
	Unsaved bool   `parser:"@'unsaved'?"`
}

type reset struct {
	Shard   number  `parser:"'shard' @@"`
	Service string  `parser:"'of' @(Word | String)"`
	Clause  clauses `parser:"@@"`
}

// clauses are the optional clauses at the end of every command that changes
// something, in any order.
type clauses struct {
	Reason string  `parser:"( 'because' @String"`
	Base   *number `parser:"| 'on' @@"`
	Dry    bool    `parser:"| @'dry' 'run' )*"`
}

type assignment struct {
	Path  path  `parser:"@@ '='"`
	Value value `parser:"@@"`
}

type path struct {
	Pos   lexer.Position
	Parts []string `parser:"@(Word | String) ( '.' @(Word | String) )*"`
}

// value is a literal. Quoted and unquoted literals are distinguished, because 64 is a
// number and "64" is text.
type value struct {
	Text   *string `parser:"  @String"`
	Scalar *string `parser:"| @(Word | Float)"`
}

// data converts the literal to a string, number or boolean for YAML.
func (v value) data() any {
	if v.Text != nil {
		return *v.Text
	}
	if i, err := strconv.ParseInt(*v.Scalar, 10, 64); err == nil {
		return i
	}
	if f, err := strconv.ParseFloat(*v.Scalar, 64); err == nil {
		return f
	}
	if b, err := strconv.ParseBool(*v.Scalar); err == nil {
		return b
	}
	return *v.Scalar
}

func (v value) String() string {
	if v.Text != nil {
		return *v.Text
	}
	return *v.Scalar
}

type number uint64

// Parse implements participle.Parseable. Its error marks the word that is not a
// number.
func (n *number) Parse(lex *lexer.PeekingLexer) error {
	token := lex.Peek()
	if token.Type != tokens.Symbols()["Word"] {
		return participle.NextMatch
	}
	v, err := strconv.ParseUint(token.Value, 10, 32)
	if err != nil {
		return participle.Errorf(token.Pos, "%q is not a number", token.Value)
	}
	lex.Next()
	*n = number(v)
	return nil
}
