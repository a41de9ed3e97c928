package config

import (
	"maps"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Path is the path of a field in a document, such as services.stock.queue.
type Path []string

var plainElement = regexp.MustCompile(`^[A-Za-z0-9_/-]+$`)

// String joins the elements with dots and quotes those with special characters.
func (p Path) String() string {
	parts := make([]string, len(p))
	for i, e := range p {
		parts[i] = e
		if !plainElement.MatchString(e) {
			parts[i] = strconv.Quote(e)
		}
	}
	return strings.Join(parts, ".")
}

// Field returns the value of the field as YAML data, and whether it is set.
func (d Document) Field(p Path) (any, bool) {
	var value any = d.tree()
	for _, e := range p {
		m, ok := value.(map[string]any)
		if !ok {
			return nil, false
		}
		if value, ok = m[e]; !ok {
			return nil, false
		}
	}
	return value, true
}

// Setting is a new value for one field.
type Setting struct {
	Path  Path
	Value any
}

// WithField returns a validated copy with the field set.
func (d Document) WithField(p Path, value any) (Document, error) {
	return d.WithFields(Setting{Path: p, Value: value})
}

// WithFields returns a copy with all fields set. It is validated once, after the
// last field, because fields may depend on each other.
func (d Document) WithFields(settings ...Setting) (Document, error) {
	tree := d.tree()
	var changed Path
	for _, s := range settings {
		if len(s.Path) == 0 {
			return Document{}, fault.New(fault.KindBadRequest, "empty field path").WithRemedy("name a field such as services.stock.queue")
		}
		tree, changed = setPath(tree, s.Path, s.Value), s.Path
	}
	return fromTree(tree, changed)
}

// WithoutField returns a validated copy with the field removed.
func (d Document) WithoutField(p Path) (Document, error) {
	if _, ok := d.Field(p); !ok || len(p) == 0 {
		return Document{}, fault.New(fault.KindNotFound, "%s: not set", p).WithRemedy("list the fields with show config")
	}
	return fromTree(removePath(d.tree(), p), p)
}

// tree returns the document as nested maps. The four sections are always
// present, so that Diff reports entries and never a whole section.
func (d Document) tree() map[string]any {
	tree := map[string]any{}
	if body, err := d.Encode(); err == nil {
		_ = yaml.Unmarshal(body, &tree)
	}
	for _, section := range [...]string{"services", "budgets", "tenants", "classes"} {
		if _, ok := tree[section].(map[string]any); !ok {
			tree[section] = map[string]any{}
		}
	}
	return tree
}

func fromTree(tree map[string]any, changed Path) (Document, error) {
	body, err := yaml.Marshal(tree)
	if err != nil {
		return Document{}, fault.New(fault.KindBadRequest, "%s: %v", changed, err)
	}
	d, err := decode(body, yaml.Strict())
	if err != nil {
		// Drop the position: it refers to the generated text, which the operator
		// has not seen.
		detail := fault.As(err).Detail
		if _, after, ok := strings.Cut(detail, "] "); ok {
			detail = after
		}
		return Document{}, fault.New(fault.KindBadRequest, "%s: %s", changed, detail).
			WithRemedy("correct the field's name or value")
	}
	return d, d.Validate()
}

func setPath(tree map[string]any, p Path, value any) map[string]any {
	tree = maps.Clone(tree)
	if len(p) == 1 {
		tree[p[0]] = value
		return tree
	}
	child, ok := tree[p[0]].(map[string]any)
	if !ok {
		child = map[string]any{}
	}
	tree[p[0]] = setPath(child, p[1:], value)
	return tree
}

func removePath(tree map[string]any, p Path) map[string]any {
	tree = maps.Clone(tree)
	child, ok := tree[p[0]].(map[string]any)
	if len(p) == 1 || !ok {
		delete(tree, p[0])
		return tree
	}
	tree[p[0]] = removePath(child, p[1:])
	return tree
}
