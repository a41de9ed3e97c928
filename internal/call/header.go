package call

import (
	"iter"
	"strings"
)

func splitList(s string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(s, ",") {
			if part = strings.TrimSpace(part); part != "" && !yield(part) {
				return
			}
		}
	}
}
