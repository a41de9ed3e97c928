package roster

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// markSize is the number of bytes of a mark: four of the process, two of the change.
const markSize = 6

// process identifies the process that an entry describes.
func (e Entry) process() uint32 {
	return uint32(xxhash.Sum64String(e.Node + "/" + strconv.FormatInt(e.Start, 36)))
}

// Marks returns marks of the entries of a region, six bytes each, by which another node
// finds what this one lacks.
func (r *Roster) Marks(region string) []byte {
	var marks []byte
	for _, e := range r.entries {
		if e.Region == region {
			marks = binary.LittleEndian.AppendUint32(marks, e.process())
			marks = binary.LittleEndian.AppendUint16(marks, uint16(e.Change))
		}
	}
	return marks
}

// Compare returns the entries of a region that another node with the marks lacks, and
// those of the marks that are of processes which are not known here. A process may have
// entries that only some nodes get, so an older entry is not unknown.
func (r *Roster) Compare(region string, marks []byte) (lacking []Entry, unknown []byte) {
	others := split(marks)
	for _, e := range r.entries {
		if e.Region != region {
			continue
		}
		process := e.process()
		if change, known := others[process]; !known || int16(uint16(e.Change)-change) > 0 {
			lacking = append(lacking, e)
		}
		delete(others, process)
	}
	for process, change := range others {
		unknown = binary.LittleEndian.AppendUint32(unknown, process)
		unknown = binary.LittleEndian.AppendUint16(unknown, change)
	}
	return lacking, unknown
}

// Marked returns the entries of a region whose processes have one of the marks.
func (r *Roster) Marked(region string, marks []byte) (found []Entry) {
	set := split(marks)
	for _, e := range r.entries {
		if _, ok := set[e.process()]; ok && e.Region == region {
			found = append(found, e)
		}
	}
	return found
}

// split returns the changes of the marks by process.
func split(marks []byte) map[uint32]uint16 {
	changes := make(map[uint32]uint16, len(marks)/markSize)
	for ; len(marks) >= markSize; marks = marks[markSize:] {
		changes[binary.LittleEndian.Uint32(marks)] = binary.LittleEndian.Uint16(marks[4:])
	}
	return changes
}
