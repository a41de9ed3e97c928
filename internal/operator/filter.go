package operator

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// filterRows removes the rows that do not satisfy all conditions, and the rows
// beyond the limit.
func (t *Table) filterRows(command string, where []filter, limit *number) error {
	for _, f := range where {
		matches, err := t.condition(command, f)
		if err != nil {
			return err
		}
		rows := t.Rows[:0]
		for _, row := range t.Rows {
			if matches(row) {
				rows = append(rows, row)
			}
		}
		t.Rows = rows
	}
	if limit != nil && len(t.Rows) > int(*limit) {
		t.Rows = t.Rows[:*limit]
	}
	return nil
}

func (t *Table) condition(command string, f filter) (func(row []any) bool, error) {
	index := -1
	names := make([]string, len(t.Columns))
	for i, c := range t.Columns {
		names[i] = c.Name
		if c.Name == f.Column {
			index = i
		}
	}
	if index < 0 {
		return nil, errorAt(command, f.Pos, "no column %q", f.Column).WithRemedy("use one of " + strings.Join(names, ", "))
	}
	column := t.Columns[index]
	if f.Op == "~" {
		return func(row []any) bool { return strings.Contains(cellText(row[index]), f.Value.String()) }, nil
	}
	want, err := column.parse(command, f.Pos, f.Value)
	if err != nil {
		return nil, err
	}
	return func(row []any) bool { return row[index] != nil && satisfies(f.Op, compare(row[index], want)) }, nil
}

// parse converts a literal to the column's type.
func (c Column) parse(command string, pos lexer.Position, v value) (any, error) {
	var (
		s      = v.String()
		parsed any
		err    error
	)
	switch c.Type {
	case TypeInteger:
		parsed, err = strconv.ParseInt(s, 10, 64)
	case TypeNumber:
		parsed, err = strconv.ParseFloat(s, 64)
	case TypeDuration:
		parsed, err = time.ParseDuration(s)
	case TypeTime:
		parsed, err = time.Parse(time.RFC3339, s)
	case TypeBoolean:
		parsed, err = strconv.ParseBool(s)
	default:
		parsed = s
	}
	if err != nil {
		return nil, errorAt(command, pos, "%q is not of type %s", s, c.Type).WithRemedy("compare " + c.Name + " with " + examples[c.Type])
	}
	return parsed, nil
}

var examples = map[Type]string{
	TypeInteger:  "an integer such as 3",
	TypeNumber:   "a number such as 0.5",
	TypeDuration: "a duration such as 20ms",
	TypeTime:     `a time such as "2026-01-31T12:00:00Z"`,
	TypeBoolean:  "true or false",
}

// compare orders two cells of the same Go type. Booleans only compare as equal or
// not equal.
func compare(a, b any) int {
	switch a := a.(type) {
	case int64:
		return cmp.Compare(a, b.(int64))
	case float64:
		return cmp.Compare(a, b.(float64))
	case time.Duration:
		return cmp.Compare(a, b.(time.Duration))
	case time.Time:
		return a.Compare(b.(time.Time))
	case bool:
		if a == b.(bool) {
			return 0
		}
		return 1
	default:
		return cmp.Compare(cellText(a), cellText(b))
	}
}

func satisfies(op string, order int) bool {
	switch op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

func missingComponent(what string) error {
	return fault.New(fault.KindInternal, "this node has no %s", what).WithRemedy("ask another node")
}
