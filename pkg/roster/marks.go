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

// Lacking returns the entries of a region that are not among the marks.
func (r *Roster) Lacking(region string, marks []byte) []Entry {
	known := make(map[uint32]bool, len(marks)/markSize)
	for ; len(marks) >= markSize; marks = marks[markSize:] {
		known[binary.LittleEndian.Uint32(marks)] = true
	}
	var lacking []Entry
	for _, e := range r.entries {
		if e.Region == region && !known[e.mark()] {
			lacking = append(lacking, e)
		}
	}
	return lacking
}
