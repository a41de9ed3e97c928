package roster

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// markSize is the number of bytes of a mark.
const markSize = 4

// mark identifies a version of an entry.
func (e Entry) mark() uint32 {
	return uint32(xxhash.Sum64String(e.Node + "/" + strconv.FormatInt(e.Start, 36) + "/" + strconv.FormatUint(e.Change, 36)))
}

// Marks returns marks of the entries of a region, four bytes each, by which another node
// finds what this one lacks.
func (r *Roster) Marks(region string) []byte {
	var marks []byte
	for _, e := range r.entries {
		if e.Region == region {
			marks = binary.LittleEndian.AppendUint32(marks, e.mark())
		}
	}
	return marks
}

// Compare returns the entries of a region that are not among the marks of another node,
// and those of the marks that are of no entry of the region.
func (r *Roster) Compare(region string, marks []byte) (lacking []Entry, unknown []byte) {
	others := split(marks)
	for _, e := range r.entries {
		if e.Region != region {
			continue
		}
		if mark := e.mark(); others[mark] {
			delete(others, mark)
		} else {
			lacking = append(lacking, e)
		}
	}
	for mark := range others {
		unknown = binary.LittleEndian.AppendUint32(unknown, mark)
	}
	return lacking, unknown
}

// Marked returns the entries of a region that have one of the marks.
func (r *Roster) Marked(region string, marks []byte) (found []Entry) {
	set := split(marks)
	for _, e := range r.entries {
		if e.Region == region && set[e.mark()] {
			found = append(found, e)
		}
	}
	return found
}

func split(marks []byte) map[uint32]bool {
	set := make(map[uint32]bool, len(marks)/markSize)
	for ; len(marks) >= markSize; marks = marks[markSize:] {
		set[binary.LittleEndian.Uint32(marks)] = true
	}
	return set
}
