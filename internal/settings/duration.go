package settings

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Duration is a time span, written as 500ms, 2s or 5m.
type Duration time.Duration

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	value, err := time.ParseDuration(node.GetToken().Value)
	if err != nil {
		return positioned(node, "%q is not a duration; write a number with ms, s, m or h", node.GetToken().Value)
	}
	*d = Duration(value)
	return nil
}

// String returns the usual form of a time span.
func (d Duration) String() string { return time.Duration(d).String() }

// positioned returns an error that the decoder shows with line and column.
func positioned(node ast.Node, format string, args ...any) error {
	return &yaml.SyntaxError{Message: fmt.Sprintf(format, args...), Token: node.GetToken()}
}
