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

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	for tag, syntax := range map[string]*regexp.Regexp{"name": nameSyntax, "rule": ruleSyntax} {
		// The only errors are an empty tag or a nil function.
		_ = v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return syntax.MatchString(f.Field().String()) })
	}
	return v
}

// Validate checks ranges and the relations between fields. Its error names
// every wrong field and the remedy.
func (d Document) Validate() error {
	problems := fieldProblems(validate.Struct(d))
	for name, s := range d.Services {
		if byDefault, longest := s.Timeouts(); byDefault > longest {
			problems = append(problems, fmt.Sprintf("services.%s.timeout.default: %v is over longest %v; lower it or raise longest", name, byDefault, longest))
		}
	}
	problems = append(problems, d.Budgets.problems()...)
	if len(problems) == 0 {
		return nil
	}
	slices.Sort(problems)
	return fault.New(fault.KindBadRequest, "configuration: %s", strings.Join(problems, "; ")).
		WithRemedy("correct the named fields and submit again")
}

func (b Budgets) problems() (problems []string) {
	single := map[string]*Budget{"budgets.server": b.Server, "budgets.link": b.Link, "budgets.total.server": b.Total.Server}
	for field, v := range single {
		if v != nil {
			problems = append(problems, v.problems(field)...)
		}
	}
	problems = append(problems, b.Links.problems("budgets.links.")...)
	return append(problems, b.Total.Links.problems("budgets.total.links.")...)
}

func (l LinkBudgets) problems(prefix string) (problems []string) {
	for from, links := range l {
		for to, v := range links {
			field := prefix + from + "." + to
			problems = append(problems, v.problems(field)...)
			if from == to {
				problems = append(problems, field+": a link joins two regions; name another region")
			}
		}
	}
	return problems
}

func (b Budget) problems(field string) []string {
	if (b.Messages == 0) != (b.Bytes == 0) {
		return []string{field + ": messages and bytes must both be zero or both be set"}
	}
	return nil
}

func fieldProblems(err error) (problems []string) {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return nil
	}
	for _, f := range fields {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		field = strings.NewReplacer("[", ".", "]", "").Replace(field)
		problems = append(problems, fmt.Sprintf("%s: %v is not allowed; %s", field, f.Value(), remedy(f)))
	}
	return problems
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
