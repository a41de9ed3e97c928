package settings

import (
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Size is a number of bytes, written as 512, 64KB, 8MB or 1GB, where 1KB is 1024
// bytes.
type Size int64

var sizeUnits = []struct {
	suffix string
	factor int64
}{{"GB", 1 << 30}, {"MB", 1 << 20}, {"KB", 1 << 10}, {"B", 1}, {"", 1}}

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (s *Size) UnmarshalYAML(node ast.Node) error {
	value := node.GetToken().Value
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(value, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/unit.factor {
			break
		}
		*s = Size(n * unit.factor)
		return nil
	}
	return syntaxErrorAt(node, "%q is not a size; write a whole number with B, KB, MB or GB", value)
}

// String formats the size without rounding, in the largest unit that divides it.
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if int64(s) != 0 && int64(s)%unit.factor == 0 {
			return strconv.FormatInt(int64(s)/unit.factor, 10) + unit.suffix
		}
	}
	return "0"
}
