package budget

// Class is a kind of measuring traffic. Classes are ordered: a lower class is
// shed first.
type Class uint8

// Classes in the order in which they are shed.
const (
	// Probe is a speculative question to a backend server about its load.
	Probe Class = iota
	// Report is a load report that no answer carries.
	Report
	// AntiEntropy is the periodic comparison of membership tables.
	AntiEntropy
	// Control is the failure detector and crash incidents.
	Control

	// Classes is the number of classes.
	Classes = int(Control) + 1
)

// String returns the class's name in reports.
func (c Class) String() string {
	names := [Classes]string{"probe", "report", "anti-entropy", "control"}
	if int(c) >= Classes {
		return "unknown"
	}
	return names[c]
}

// sharePercent is the part of a budget that all traffic together may have used
// after a message of the class is sent. What remains is the reserve for the
// classes above.
var sharePercent = [Classes]int64{Probe: 50, Report: 70, AntiEntropy: 85, Control: 100}

// Key names what a budget belongs to: a backend server or an ordered pair of
// regions. Keys are comparable.
type Key struct {
	from, to string
	link     bool
}

// Server returns the key of the budget of one backend server.
func Server(id string) Key { return Key{to: id} }

// Link returns the key of the budget of the link between two regions, in this
// direction only. A link inside one region is counted and never limited, since
// only traffic between regions is billed.
func Link(from, to string) Key { return Key{from: from, to: to, link: true} }

// String returns the server's ID or from>to.
func (k Key) String() string {
	if k.link {
		return k.from + ">" + k.to
	}
	return k.to
}

// IsLink reports whether the key names a pair of regions.
func (k Key) IsLink() bool { return k.link }

// Regions returns the pair of regions of a link.
func (k Key) Regions() (from, to string) { return k.from, k.to }

func (k Key) unlimited() bool { return k.link && k.from == k.to }

// Rate is a budget for each second. The zero Rate allows nothing.
type Rate struct {
	Messages int64
	Bytes    int64
}

// Split returns the even part of a rate that n nodes share. The parts never add
// up to more than the rate.
func (r Rate) Split(n int) Rate {
	parts := int64(max(n, 1))
	return Rate{r.Messages / parts, r.Bytes / parts}
}

// Min returns the lower of two rates, in messages and in bytes.
func (r Rate) Min(o Rate) Rate { return Rate{min(r.Messages, o.Messages), min(r.Bytes, o.Bytes)} }

func (r Rate) share(c Class) Rate {
	return Rate{part(r.Messages, sharePercent[c]), part(r.Bytes, sharePercent[c])}
}

// part divides first, so that a rate near the largest integer does not overflow.
func part(n, percent int64) int64 { return n/100*percent + n%100*percent/100 }

// Count is a number of messages and their bytes.
type Count struct {
	Messages uint64
	Bytes    uint64
}

func (c *Count) add(bytes int64) {
	c.Messages++
	c.Bytes += uint64(bytes)
}

func (c *Count) merge(o Count) {
	c.Messages += o.Messages
	c.Bytes += o.Bytes
}

// Counters hold what one budget spent and denied since the start, by class.
type Counters struct {
	Spent  [Classes]Count
	Denied [Classes]Count
}

// Total returns the sums over all classes.
func (c Counters) Total() (spent, denied Count) {
	for i := range Classes {
		spent.merge(c.Spent[i])
		denied.merge(c.Denied[i])
	}
	return spent, denied
}

func (c *Counters) merge(o Counters) {
	for i := range Classes {
		c.Spent[i].merge(o.Spent[i])
		c.Denied[i].merge(o.Denied[i])
	}
}
