package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Difference is one field with different values in two documents. A nil value
// means that the field is not set.
type Difference struct {
	Path     Path
	Old, New any
}

// String formats the difference as "path: old -> new".
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s -> %s", d.Path, FormatValue(d.Old), FormatValue(d.New))
}

// FormatValue formats a value of a document on one line. A nil value means that
// the field is not set.
func FormatValue(v any) string {
	m, ok := v.(map[string]any)
	switch {
	case v == nil:
		return "(not set)"
	case !ok:
		return fmt.Sprint(v)
	}
	parts := make([]string, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, Path{key}.String()+": "+FormatValue(m[key]))
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// Diff lists the differences between two documents in path order.
func Diff(before, after Document) []Difference {
	return diff(nil, before.tree(), after.tree())
}

func diff(at Path, before, after map[string]any) (out []Difference) {
	union := maps.Clone(before)
	maps.Copy(union, after)
	for _, key := range slices.Sorted(maps.Keys(union)) {
		path := append(slices.Clone(at), key)
		b, a := before[key], after[key]
		bm, bok := b.(map[string]any)
		am, aok := a.(map[string]any)
		switch {
		case bok && aok:
			out = append(out, diff(path, bm, am)...)
		case !reflect.DeepEqual(b, a):
			out = append(out, Difference{Path: path, Old: b, New: a})
		}
	}
	return out
}

// revert returns the document with the differences undone. It returns a conflict
// if one of the fields has changed again since.
func (d Document) revert(changes []Difference) (Document, error) {
	tree := d.tree()
	for _, c := range changes {
		if current, _ := d.Field(c.Path); !reflect.DeepEqual(current, c.New) {
			return Document{}, fault.New(fault.KindConflict, "%s was changed again, to %s", c.Path, FormatValue(current)).
				WithRemedy("undo the later change first, or set the field")
		}
		if c.Old == nil {
			tree = removePath(tree, c.Path)
		} else {
			tree = setPath(tree, c.Path, c.Old)
		}
	}
	return fromTree(tree, nil)
}
