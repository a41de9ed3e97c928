package settings

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Duration is a time.Duration in YAML, written as 500ms, 2s or 5m.
type Duration time.Duration

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	value, err := time.ParseDuration(node.GetToken().Value)
	if err != nil {
		return syntaxErrorAt(node, "%q is not a duration; write a number with ms, s, m or h", node.GetToken().Value)
	}
	*d = Duration(value)
	return nil
}

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// syntaxErrorAt returns an error at the node, which the decoder formats with line
// and column.
func syntaxErrorAt(node ast.Node, format string, args ...any) error {
	return &yaml.SyntaxError{Message: fmt.Sprintf(format, args...), Token: node.GetToken()}
}
