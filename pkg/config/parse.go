package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Parse reads a whole document written by an operator. It is as strict as
// Decode, and its errors give line and column. It rejects a text without fields,
// because that would remove every service, and a second YAML document, because
// the decoder would ignore it.
func Parse(text []byte) (Document, error) {
	d, err := decode(text, yaml.Strict())
	if err != nil {
		return Document{}, err
	}
	root, err := root(text)
	if err == nil {
		err = validationErrorAt(root, d.problems())
	}
	if err != nil {
		return Document{}, err
	}
	return d, nil
}

// validationErrorAt returns one error with all problems in the order of the text,
// each with its line and column, or nil if there are none.
func validationErrorAt(root ast.Node, problems []problem) error {
	at := func(p problem) *token.Position { return position(root, p.path) }
	slices.SortFunc(problems, func(a, b problem) int {
		return cmp.Or(cmp.Compare(at(a).Offset, at(b).Offset), cmp.Compare(a.String(), b.String()))
	})
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = fmt.Sprintf("[%d:%d] %s", at(p).Line, at(p).Column, p)
	}
	return validationError(texts, "\n")
}

// root returns the root node of the only YAML document in the text.
func root(text []byte) (ast.Node, error) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, fault.New(fault.KindBadRequest, "configuration: %s", firstErrorLine(err)).WithRemedy("correct the YAML text")
	}
	var root ast.Node
	for _, doc := range file.Docs {
		switch {
		case doc.Body == nil || doc.Body.Type() == ast.CommentType || doc.Body.Type() == ast.NullType:
		case root != nil:
			at := doc.Body.GetToken().Position
			return nil, fault.New(fault.KindBadRequest, "configuration: [%d:%d] a second document begins", at.Line, at.Column).
				WithRemedy("put everything into one document without ---")
		default:
			root = doc.Body
		}
	}
	if values, ok := root.(ast.MapNode); root == nil || ok && !values.MapRange().Next() {
		return nil, fault.New(fault.KindBadRequest, "configuration: [1:1] the document has no field").
			WithRemedy("write the whole configuration, beginning with services; take single entries away with remove")
	}
	return root, nil
}

// position returns the position of a field's key or, if the field is not in the
// text, that of its nearest enclosing field.
func position(at ast.Node, p Path) *token.Position {
	found := at.GetToken().Position
	for _, element := range p {
		entry := child(at, element)
		if entry == nil {
			break
		}
		found, at = entry.Key.GetToken().Position, entry.Value
	}
	return found
}

func child(at ast.Node, key string) *ast.MappingValueNode {
	if anchor, ok := at.(*ast.AnchorNode); ok {
		at = anchor.Value
	}
	values, ok := at.(ast.MapNode)
	if !ok {
		return nil
	}
	for entries := values.MapRange(); entries.Next(); {
		if entries.Key().GetToken().Value == key {
			return entries.KeyValue()
		}
	}
	return nil
}
