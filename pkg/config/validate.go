package config

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

var (
	nameSyntax = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)
	ruleSyntax = regexp.MustCompile(`^([A-Z]+|[A-Z]+ /\S*|/\S*)$`)
	validate   = newValidator()
)

// IsName reports whether s can be the name of a service, domain or other entity.
func IsName(s string) bool { return nameSyntax.MatchString(s) }

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	for tag, syntax := range map[string]*regexp.Regexp{"name": nameSyntax, "rule": ruleSyntax} {
		// Registration fails only for an empty tag or a nil function.
		_ = v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return syntax.MatchString(f.Field().String()) })
	}
	return v
}

// problem is one invalid field. Its text includes the remedy.
type problem struct {
	path Path
	text string
}

func (p problem) String() string { return strings.Join(p.path, ".") + ": " + p.text }

// Validate checks ranges and constraints between fields. Its error lists every
// invalid field with the remedy.
func (d Document) Validate() error {
	var texts []string
	for _, p := range d.problems() {
		texts = append(texts, p.String())
	}
	slices.Sort(texts)
	return validationError(texts, "; ")
}

// validationError returns one error for all problems, or nil if there are none.
func validationError(problems []string, separator string) error {
	if len(problems) == 0 {
		return nil
	}
	return fault.New(fault.KindBadRequest, "configuration: %s", strings.Join(problems, separator)).
		WithRemedy("correct the named fields and submit again")
}

func (d Document) problems() []problem {
	problems := fieldProblems(validate.Struct(d))
	for name, s := range d.Services {
		if defaultTimeout, longest := s.Timeouts(); defaultTimeout > longest {
			text := fmt.Sprintf("%v is over longest %v; lower it or raise longest", defaultTimeout, longest)
			problems = append(problems, problem{Path{"services", name, "timeout", "default"}, text})
		}
	}
	return append(problems, d.Budgets.problems()...)
}

func (b Budgets) problems() (problems []problem) {
	problems = append(problems, b.Server.problems("budgets", "server")...)
	problems = append(problems, b.Link.problems("budgets", "link")...)
	problems = append(problems, b.Links.problems("budgets", "links")...)
	problems = append(problems, b.Total.Server.problems("budgets", "total", "server")...)
	return append(problems, b.Total.Links.problems("budgets", "total", "links")...)
}

func (l LinkBudgets) problems(prefix ...string) (problems []problem) {
	for from, links := range l {
		for to, v := range links {
			path := slices.Concat(prefix, Path{from, to})
			problems = append(problems, v.problems(path...)...)
			if from == to {
				problems = append(problems, problem{path, "a link joins two regions; name another region"})
			}
		}
	}
	return problems
}

func (b *Budget) problems(path ...string) []problem {
	if b != nil && (b.Messages == 0) != (b.Bytes == 0) {
		return []problem{{path, "messages and bytes must both be zero or both be set"}}
	}
	return nil
}

func fieldProblems(err error) (problems []problem) {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return nil
	}
	for _, f := range fields {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		problems = append(problems, problem{namespacePath(field), fmt.Sprintf("%v is not allowed; %s", f.Value(), remedy(f))})
	}
	return problems
}

// namespacePath splits a field name of the validator, such as
// services[127.0.0.1:9].slots. Map keys are in brackets and may contain dots.
func namespacePath(field string) (path Path) {
	for field != "" {
		var element string
		if key, ok := strings.CutPrefix(field, "["); ok {
			element, field, _ = strings.Cut(key, "]")
		} else {
			end := strings.IndexAny(field, ".[")
			if end < 0 {
				end = len(field)
			}
			element, field = field[:end], field[end:]
		}
		path, field = append(path, element), strings.TrimPrefix(field, ".")
	}
	return path
}

func remedy(f validator.FieldError) string {
	switch f.Tag() {
	case "min":
		return "use at least " + f.Param()
	case "max":
		return "use at most " + f.Param()
	case "oneof":
		return "use " + strings.ReplaceAll(f.Param(), " ", " or ")
	case "rule":
		return `name it "METHOD", "/path" or "METHOD /path"`
	case "name":
		return "use up to 63 lower-case letters, digits, - and _"
	default:
		return "set a value"
	}
}
