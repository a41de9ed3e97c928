package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func document() *Document {
	return &Document{
		Version:  7,
		Services: []Service{{Name: "stock"}, {Name: "dock"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Timeout: time.Second, MaxAttempts: 1, Destinations: []Destination{{"stock", 1}}},
			{Name: "orders", Host: "a.example", Prefix: "/orders/", Timeout: time.Second, MaxAttempts: 1, Destinations: []Destination{{"dock", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/orders/late/", Timeout: time.Second, MaxAttempts: 1, Destinations: []Destination{{"stock", 90}, {"dock", 10}}},
		},
	}
}

// Guards against a shorter prefix that wins, and a prefix that matches inside a path
// segment.
func TestFindTakesTheLongestPrefix(t *testing.T) {
	table := NewTable(document())
	for name, c := range map[string]struct{ host, path, route string }{
		"root":            {"a.example", "/x", "all"},
		"prefix":          {"a.example", "/orders/1", "orders"},
		"longest":         {"a.example", "/orders/late/1", "deep"},
		"inside segment":  {"a.example", "/orderset", "all"},
		"host with port":  {"A.example:8080", "/orders/1", "orders"},
		"other host":      {"b.example", "/orders/1", ""},
		"relative target": {"a.example", "orders/1", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, _, ok := table.Find(c.host, c.path)
			assert.Equal(t, ok, c.route != "")
			assert.Equal(t, r.Name, c.route)
		})
	}
}

// Guards against destinations that miss their share in a window of 200 requests.
func TestDestinationsGetTheirWeight(t *testing.T) {
	table := NewTable(document())
	for range 20 {
		counts := map[string]int{}
		for range 200 {
			_, service, _ := table.Find("a.example", "/orders/late/")
			counts[service]++
		}
		assert.Equal(t, counts["dock"], 20)
	}
}

// Guards against a truncated or invalid configuration that replaces a valid one.
func TestCheckRejects(t *testing.T) {
	for name, change := range map[string]func(d *Document){
		"no routes":            func(d *Document) { d.Routes = nil },
		"no services":          func(d *Document) { d.Services = nil },
		"unknown service":      func(d *Document) { d.Routes[0].Destinations[0].Service = "none" },
		"no timeout":           func(d *Document) { d.Routes[0].Timeout = 0 },
		"prefix without slash": func(d *Document) { d.Routes[0].Prefix = "/x" },
		"no host":              func(d *Document) { d.Routes[0].Host = "" },
		"same host and prefix": func(d *Document) { d.Routes[1].Prefix = "/" },
		"no weight":            func(d *Document) { d.Routes[0].Destinations[0].Weight = 0 },
		"negative weight":      func(d *Document) { d.Routes[2].Destinations[1].Weight = -1 },
		"no attempts":          func(d *Document) { d.Routes[0].MaxAttempts = 0 },
		"duplicate service":    func(d *Document) { d.Services[1].Name = "stock" },
		"health, line end":     func(d *Document) { d.Services[0].Health = "/health HTTP/1.1\r\nX: 1" },
		"health, space":        func(d *Document) { d.Services[0].Health = "/health HTTP/1.0" },
		"service, line end":    func(d *Document) { d.Services[1].Name = "stock\n" },
	} {
		t.Run(name, func(t *testing.T) {
			d := document()
			assert.NilError(t, d.Check())
			change(d)
			assert.Assert(t, d.Check() != nil)
		})
	}
}

// Guards against the rejection of an objective longer than the timeout, which the
// platform accepts. The rejection leaves every node without a configuration.
func TestObjectiveMayExceedTheTimeout(t *testing.T) {
	d := document()
	d.Routes[0].Objective = 2 * time.Second
	assert.NilError(t, d.Check())
}
