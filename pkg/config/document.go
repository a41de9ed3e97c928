// Package config holds the configuration of the cluster: one immutable
// document, its versions, and the rules by which a change is accepted. It does
// no I/O; the table and the peers are reached through small interfaces.
package config

import (
	"net/http"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/pkg/retry"
)

// Values that apply where a document is silent.
const (
	DefaultRetries    = 2
	DefaultRetryRatio = retry.DefaultRatio
	DefaultHedgeRatio = retry.DefaultHedgeRatio
	DefaultHedgeAfter = retry.DefaultHedgeAfter
	DefaultQueue      = 64
	DefaultTimeout    = 5 * time.Second
	// LongestTimeout bounds every request, because a planned stop waits for
	// the requests in flight.
	LongestTimeout = 30 * time.Second
	DefaultWeight  = 1
)

// Budgets that apply where a document is silent, for each node.
var (
	DefaultServerBudget = Budget{Messages: 20, Bytes: 4096}
	DefaultLinkBudget   = Budget{Messages: 20, Bytes: 1024}
	// DefaultServerTotal is for all nodes together.
	DefaultServerTotal = Budget{Messages: 200, Bytes: 40 << 10}
)

// Document is one configuration. It is immutable: nobody changes its maps after
// Decode, and With methods return changed copies.
type Document struct {
	Services map[string]Service `yaml:"services" validate:"dive,keys,name,endkeys"`
	Budgets  Budgets            `yaml:"budgets"`
	Tenants  map[string]Tenant  `yaml:"tenants" validate:"dive,keys,name,endkeys"`
	Classes  map[string]Class   `yaml:"classes" validate:"dive,keys,name,endkeys"`
}

// Service holds the rules of one service.
type Service struct {
	// Rules maps "METHOD", "/path" or "METHOD /path" to a rule. The longest
	// path wins, then the rule with a method.
	Rules   map[string]Rule   `yaml:"rules,omitempty" validate:"dive,keys,rule,endkeys,oneof=idempotent non-idempotent"`
	Retry   Retry             `yaml:"retry,omitempty"`
	Hedge   Hedge             `yaml:"hedge,omitempty"`
	Queue   *int              `yaml:"queue,omitempty" validate:"omitempty,min=0,max=10000"`
	Timeout Timeout           `yaml:"timeout,omitempty"`
	Servers map[string]Server `yaml:"servers,omitempty" validate:"dive,keys,required,endkeys"`
}

// Rule says whether a request may run more than once.
type Rule string

// Rules of a service.
const (
	Idempotent    Rule = "idempotent"
	NonIdempotent Rule = "non-idempotent"
)

// Retry limits retries of one request and of all requests.
type Retry struct {
	Limit *int     `yaml:"limit,omitempty" validate:"omitempty,min=0,max=10"`
	Ratio *float64 `yaml:"ratio,omitempty" validate:"omitempty,min=0,max=0.5"`
}

// Hedge limits second copies of slow idempotent requests.
type Hedge struct {
	Ratio *float64 `yaml:"ratio,omitempty" validate:"omitempty,min=0,max=0.1"`
	After *float64 `yaml:"after,omitempty" validate:"omitempty,min=0.5,max=0.9999"` // quantile of the class
}

// Timeout holds the limits of Request-Timeout.
type Timeout struct {
	Default time.Duration `yaml:"default,omitempty" validate:"omitempty,min=1ms,max=30s"`
	Longest time.Duration `yaml:"longest,omitempty" validate:"omitempty,min=1ms,max=30s"`
}

// Server overrides what one backend server announces; its key is the ID of the
// node beside it.
type Server struct {
	Slots   int  `yaml:"slots,omitempty" validate:"min=0,max=10000"` // zero keeps the announced slots
	Drained bool `yaml:"drained,omitempty"`
}

// LinkBudgets maps the region of origin, then of destination, to a budget.
type LinkBudgets map[string]map[string]Budget

// Budgets holds the measuring budgets of one node, and of all nodes together.
type Budgets struct {
	Server *Budget     `yaml:"server,omitempty"` // for each backend server
	Link   *Budget     `yaml:"link,omitempty"`   // for each link without its own entry
	Links  LinkBudgets `yaml:"links,omitempty" validate:"dive,keys,name,endkeys,dive,keys,name,endkeys"`
	Total  Totals      `yaml:"total,omitempty"`
}

// Totals bounds the sum over all nodes, beside the budget of each.
type Totals struct {
	Server *Budget     `yaml:"server,omitempty"` // for each backend server
	Links  LinkBudgets `yaml:"links,omitempty" validate:"dive,keys,name,endkeys,dive,keys,name,endkeys"`
}

// Budget bounds messages and bytes a second. Zero in both forbids measuring.
type Budget struct {
	Messages int `yaml:"messages" validate:"min=0,max=100000"`
	Bytes    int `yaml:"bytes" validate:"min=0,max=100000000"`
}

// Tenant is one customer with a share of each queue.
type Tenant struct {
	Weight int `yaml:"weight,omitempty" validate:"min=0,max=1000"` // zero means DefaultWeight
}

// Class is one kind of request. A lower priority number is served first.
type Class struct {
	Priority int `yaml:"priority" validate:"min=0,max=15"`
}

// Idempotent reports whether a request with the method and path may run more
// than once.
func (s Service) Idempotent(method, path string) bool {
	best, rule := -1, Rule("")
	for key, r := range s.Rules {
		m, prefix := splitRule(key)
		if m != "" && m != method || !hasPathPrefix(path, prefix) {
			continue
		}
		score := 2 * len(prefix)
		if m != "" {
			score++
		}
		if score > best {
			best, rule = score, r
		}
	}
	if best >= 0 {
		return rule == Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func splitRule(key string) (method, prefix string) {
	method, prefix, _ = strings.Cut(key, " ")
	if strings.HasPrefix(method, "/") {
		return "", method
	}
	return method, prefix
}

func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// RetryLimit returns the retries allowed for one request and their share of all
// requests.
func (s Service) RetryLimit() (limit int, ratio float64) {
	return or(s.Retry.Limit, DefaultRetries), or(s.Retry.Ratio, DefaultRetryRatio)
}

// HedgeLimit returns the share of hedged requests and the quantile of latency
// after which a request is hedged.
func (s Service) HedgeLimit() (ratio, after float64) {
	return or(s.Hedge.Ratio, DefaultHedgeRatio), or(s.Hedge.After, DefaultHedgeAfter)
}

// QueueLength returns the bound of the queue beside each server.
func (s Service) QueueLength() int { return or(s.Queue, DefaultQueue) }

// Timeouts returns the timeout of requests without one and the longest allowed.
func (s Service) Timeouts() (byDefault, longest time.Duration) {
	longest = s.Timeout.Longest
	if longest == 0 {
		longest = LongestTimeout
	}
	byDefault = s.Timeout.Default
	if byDefault == 0 {
		byDefault = min(DefaultTimeout, longest)
	}
	return byDefault, longest
}

// ServerBudget returns the measuring budget for each backend server.
func (d Document) ServerBudget() Budget { return or(d.Budgets.Server, DefaultServerBudget) }

// LinkBudget returns the measuring budget for the link between two regions.
func (d Document) LinkBudget(from, to string) Budget {
	if b, ok := d.Budgets.Links[from][to]; ok {
		return b
	}
	return or(d.Budgets.Link, DefaultLinkBudget)
}

// ServerTotal returns the measuring budget that all nodes share for one server.
func (d Document) ServerTotal() Budget { return or(d.Budgets.Total.Server, DefaultServerTotal) }

// TenantWeight returns the tenant's share of a queue.
func (d Document) TenantWeight(name string) int { return max(d.Tenants[name].Weight, DefaultWeight) }

func or[T any](p *T, byDefault T) T {
	if p == nil {
		return byDefault
	}
	return *p
}
