package operator

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Type is the type of a column.
type Type string

// Types of columns and the Go types of their cells.
const (
	TypeText     Type = "text"     // string
	TypeInteger  Type = "integer"  // int64
	TypeNumber   Type = "number"   // float64
	TypeDuration Type = "duration" // time.Duration, in JSON milliseconds
	TypeTime     Type = "time"     // time.Time, in JSON RFC 3339
	TypeBoolean  Type = "boolean"  // bool
)

// Column describes one column.
type Column struct {
	Name string `json:"name"`
	Type Type   `json:"type"`
	Unit string `json:"unit,omitempty"`
}

func text(name string) Column     { return Column{Name: name, Type: TypeText} }
func integer(name string) Column  { return Column{Name: name, Type: TypeInteger} }
func decimal(name string) Column  { return Column{Name: name, Type: TypeNumber} }
func duration(name string) Column { return Column{Name: name, Type: TypeDuration, Unit: "ms"} }
func instant(name string) Column  { return Column{Name: name, Type: TypeTime} }
func boolean(name string) Column  { return Column{Name: name, Type: TypeBoolean} }

// Table is a titled table of typed cells. Each row has one cell per column, of the
// column's Go type, or nil for no value.
type Table struct {
	Title   string   `json:"title"`
	Columns []Column `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

func newTable(title string, columns ...Column) *Table {
	return &Table{Title: title, Columns: columns, Rows: [][]any{}}
}

func (t *Table) add(cells ...any) {
	for i, c := range cells {
		cells[i] = cell(c)
	}
	t.Rows = append(t.Rows, cells)
}

// cell converts a value to the Go type of its column type, such as any integer to
// int64.
func cell(c any) any {
	switch c := c.(type) {
	case int:
		return int64(c)
	case uint64:
		return int64(c)
	case time.Time:
		if c.IsZero() {
			return nil
		}
		return c.UTC()
	case fmt.Stringer:
		if _, ok := c.(time.Duration); !ok {
			return c.String()
		}
	}
	return c
}

// MarshalJSON writes durations in the unit of their column.
func (t Table) MarshalJSON() ([]byte, error) {
	type plain Table
	p := plain(t)
	p.Rows = make([][]any, len(t.Rows))
	for i, row := range t.Rows {
		p.Rows[i] = make([]any, len(row))
		for j, c := range row {
			if d, ok := c.(time.Duration); ok {
				c = float64(d) / float64(time.Millisecond)
			}
			p.Rows[i][j] = c
		}
	}
	return json.Marshal(p)
}

// Text renders the table with aligned columns.
func (t Table) Text() string {
	var b strings.Builder
	if t.Title != "" {
		fmt.Fprintf(&b, "%s\n", t.Title)
	}
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	names := make([]string, len(t.Columns))
	for i, c := range t.Columns {
		names[i] = strings.ToUpper(c.Name)
	}
	fmt.Fprintln(w, strings.Join(names, "\t"))
	for _, row := range t.Rows {
		cells := make([]string, len(row))
		for i, c := range row {
			cells[i] = cellText(c)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush()
	if len(t.Rows) == 0 {
		b.WriteString("(none)\n")
	}
	return b.String()
}

func cellText(c any) string {
	switch c := c.(type) {
	case nil:
		return "-"
	case float64:
		return strconv.FormatFloat(math.Round(c*1000)/1000, 'f', -1, 64)
	case time.Duration:
		return c.Round(time.Microsecond).String()
	case time.Time:
		return c.Format(time.RFC3339)
	case string:
		// Tabs and line breaks would break the alignment.
		return strings.NewReplacer("\t", " ", "\n", " ").Replace(c)
	default:
		return fmt.Sprint(c)
	}
}

// Result is the result of a command: either tables and notes, or a raw document.
type Result struct {
	Tables []*Table `json:"tables"`
	Notes  []string `json:"notes,omitempty"`
	// Raw, if set, replaces tables and notes. RawType is its content type.
	Raw     []byte `json:"-"`
	RawType string `json:"-"`
}

func (r *Result) note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// Text renders the result for a terminal.
func (r Result) Text() string {
	if r.Raw != nil {
		return string(r.Raw)
	}
	var parts []string
	for _, t := range r.Tables {
		parts = append(parts, t.Text())
	}
	if len(r.Notes) > 0 {
		parts = append(parts, strings.Join(r.Notes, "\n")+"\n")
	}
	return strings.Join(parts, "\n")
}

// JSON renders the result as JSON. A raw document of another type is wrapped in an
// object with its content type.
func (r Result) JSON() ([]byte, error) {
	if r.Raw != nil && r.RawType == typeJSON {
		return r.Raw, nil
	}
	if r.Raw != nil {
		return json.Marshal(map[string]string{"type": r.RawType, "text": string(r.Raw)})
	}
	return json.Marshal(r)
}

const (
	typeJSON = "application/json"
	typeText = "text/plain; charset=utf-8"
	typeSVG  = "image/svg+xml"
	typeYAML = "application/yaml"
)
