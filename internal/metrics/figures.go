package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Figures holds what a node measured in a period of time.
type Figures struct {
	Latency  Latencies `msgpack:"l"`
	Refusals Refusals  `msgpack:"r"`
	Links    Links     `msgpack:"n"`
}

const (
	// maxRefusals bounds the counts of refusals in a message. It is more than a Sum
	// holds: maxSumLabels pairs of label and kind, and all kinds of the label Other.
	maxRefusals = 2 * maxSumLabels
	// maxLinkBytes bounds the links in a message: the number of links between 64
	// regions.
	maxLinkBytes = 64 * 64
)

// Latencies holds the latency histograms of all labels.
type Latencies []Latency

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Latencies) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[Latency](d, maxSumLabels, "histograms")
	return err
}

// Refusals holds the counts of refused requests by label and kind.
type Refusals []Refusal

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Refusals) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[Refusal](d, maxRefusals, "counts of refusals")
	return err
}

// Links holds the bytes of measuring traffic between regions.
type Links []LinkBytes

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *Links) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[LinkBytes](d, maxLinkBytes, "links")
	return err
}

// Latency is the latency histogram of one label, with counts as encoded by pack.
type Latency struct {
	Label  `msgpack:",inline"`
	Counts []byte `msgpack:"h"`
}

// Refusal counts the refused requests of one label and kind.
type Refusal struct {
	Label `msgpack:",inline"`
	Kind  string `msgpack:"k"`
	Count int64  `msgpack:"n"`
}

// LinkBytes counts the bytes of measuring traffic from one region to another.
type LinkBytes struct {
	From  string `msgpack:"f"`
	To    string `msgpack:"t"`
	Bytes int64  `msgpack:"b"`
}

// size returns the estimated memory of the figures in bytes.
func (f Figures) size() int {
	const label, link, refusal = 96, 48, 80
	n := len(f.Links)*link + len(f.Refusals)*refusal
	for _, l := range f.Latency {
		n += label + cap(l.Counts)
	}
	return n
}

// maxSumLabels bounds the labels of a Sum, because the counts of each label take
// 17 KB until they are packed.
const maxSumLabels = maxSeries

// Sum aggregates the figures of several intervals or nodes. The zero value is empty.
type Sum struct {
	latency  map[Label][]int64
	refusals map[refusalKey]int64
	links    map[[2]string]int64
}

type refusalKey struct {
	Label
	kind string
}

// Add adds the figures of one interval or node. Labels over the bound are counted
// under Other.
func (s *Sum) Add(f Figures) {
	if s.latency == nil {
		s.latency, s.refusals, s.links = make(map[Label][]int64), make(map[refusalKey]int64), make(map[[2]string]int64)
	}
	for _, l := range f.Latency {
		unpack(s.counts(l.Label), l.Counts)
	}
	for _, r := range f.Refusals {
		key := refusalKey{r.Label, r.Kind}
		if _, known := s.refusals[key]; !known && len(s.refusals) >= maxSumLabels {
			key.Label = Label{Other, Other, Other}
		}
		s.refusals[key] += r.Count
	}
	for _, l := range f.Links {
		s.links[[2]string{l.From, l.To}] += l.Bytes
	}
}

// counts returns the counts of the label, or those of Other for a label over the
// bound.
func (s *Sum) counts(l Label) []int64 {
	if c := s.latency[l]; c != nil {
		return c
	}
	if len(s.latency) >= maxSumLabels-1 {
		l = Label{Other, Other, Other}
	}
	if s.latency[l] == nil {
		s.latency[l] = emptyCounts()
	}
	return s.latency[l]
}

// Figures returns the sums with packed histograms.
func (s *Sum) Figures() Figures {
	var f Figures
	for label, counts := range s.latency {
		f.Latency = append(f.Latency, Latency{label, pack(counts)})
	}
	for key, n := range s.refusals {
		f.Refusals = append(f.Refusals, Refusal{key.Label, key.kind, n})
	}
	for link, bytes := range s.links {
		f.Links = append(f.Links, LinkBytes{link[0], link[1], bytes})
	}
	return f
}

// Histograms returns the latency histograms by label, in microseconds.
func (s *Sum) Histograms() map[Label]*hdrhistogram.Histogram {
	all := make(map[Label]*hdrhistogram.Histogram, len(s.latency))
	for label, counts := range s.latency {
		all[label] = fromCounts(counts)
	}
	return all
}

// Window holds what one node measured between two points in time. From and To are
// ages at the time of the reply, because the wall clocks of nodes differ.
type Window struct {
	From    time.Duration `msgpack:"f"`
	To      time.Duration `msgpack:"t"`
	Figures `msgpack:",inline"`
}

// Windows holds the windows before and after a configuration version came into
// force. A window is nil if the node measured nothing in that time.
type Windows struct {
	Before *Window `msgpack:"b"`
	After  *Window `msgpack:"a"`
}
