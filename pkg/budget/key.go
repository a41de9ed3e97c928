package budget

// Class is a class of measuring traffic. Lower classes are shed first.
type Class uint8

// Classes in the order in which they are shed.
const (
	// Probe is a speculative load probe of a backend server.
	Probe Class = iota
	// Report is a load report that is not carried by an answer.
	Report
	// AntiEntropy is the periodic exchange of membership tables.
	AntiEntropy
	// Control is the traffic of the failure detector and of crash incidents.
	Control

	// Classes is the number of classes.
	Classes = int(Control) + 1
)

// String returns the name of the class in reports.
func (c Class) String() string {
	names := [Classes]string{"probe", "report", "anti-entropy", "control"}
	if int(c) >= Classes {
		return "unknown"
	}
	return names[c]
}

// sharePercent is the share of a budget that all classes together may have used
// once a message of the class is sent. The rest is reserved for higher classes.
var sharePercent = [Classes]int64{Probe: 50, Report: 70, AntiEntropy: 85, Control: 100}

// Key identifies the owner of a budget: a backend server or an ordered pair of
// regions. Keys are comparable.
type Key struct {
	from, to string
	link     bool
}

// Server returns the key of the budget of one backend server.
func Server(id string) Key { return Key{to: id} }

// Link returns the key of the budget of the link between two regions, in this
// direction only. A link within one region is counted but not limited, since only
// traffic between regions is billed.
func Link(from, to string) Key { return Key{from: from, to: to, link: true} }

// String returns the server's ID, or from>to for a link.
func (k Key) String() string {
	if k.link {
		return k.from + ">" + k.to
	}
	return k.to
}

// IsLink reports whether the key identifies a link.
func (k Key) IsLink() bool { return k.link }

// Regions returns the pair of regions of a link.
func (k Key) Regions() (from, to string) { return k.from, k.to }

func (k Key) unlimited() bool { return k.link && k.from == k.to }

// Rate is a budget per second. The zero Rate allows nothing.
type Rate struct {
	Messages int64
	Bytes    int64
}

// Split returns the equal part of a rate that is shared by n nodes. The sum of the
// parts never exceeds the rate.
func (r Rate) Split(n int) Rate {
	parts := int64(max(n, 1))
	return Rate{r.Messages / parts, r.Bytes / parts}
}

// Min returns the minimum of two rates, separately for messages and bytes.
func (r Rate) Min(o Rate) Rate { return Rate{min(r.Messages, o.Messages), min(r.Bytes, o.Bytes)} }

func (r Rate) share(c Class) Rate {
	return Rate{percentOf(r.Messages, sharePercent[c]), percentOf(r.Bytes, sharePercent[c])}
}

// percentOf divides first, so that rates near the largest integer do not overflow.
func percentOf(n, percent int64) int64 { return n/100*percent + n%100*percent/100 }

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

// Counters holds the messages allowed and denied by one budget, by class.
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
