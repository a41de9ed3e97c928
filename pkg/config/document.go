// Package config implements the versioned configuration of the cluster: an
// immutable document, its versions, and the conditions under which a change is
// accepted. It does no I/O of its own; the table service and the peers are reached
// through the interfaces Store and Peers.
package config

import (
	"net/http"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/pkg/retry"
)

// Defaults for fields that a document does not set.
const (
	DefaultRetries    = 2
	DefaultRetryRatio = retry.DefaultRatio
	DefaultHedgeRatio = retry.DefaultHedgeRatio
	DefaultHedgeAfter = retry.DefaultHedgeAfter
	DefaultQueue      = 64
	DefaultTimeout    = 5 * time.Second
	// LongestTimeout is the upper limit for every request, because a graceful
	// shutdown waits for the requests in flight.
	LongestTimeout = 30 * time.Second
	DefaultWeight  = 1
)

// Default measuring budgets, per node unless noted otherwise.
var (
	DefaultServerBudget = Budget{Messages: 20, Bytes: 4096}
	DefaultLinkBudget   = Budget{Messages: 20, Bytes: 1024}
	// DefaultServerTotal is the sum over all nodes.
	DefaultServerTotal = Budget{Messages: 200, Bytes: 40 << 10}
)

// Document is one configuration. It is immutable: its maps must not be modified
// after Decode, and the With methods return modified copies.
type Document struct {
	Services map[string]Service `yaml:"services" validate:"dive,keys,name,endkeys"`
	Budgets  Budgets            `yaml:"budgets"`
	Tenants  map[string]Tenant  `yaml:"tenants" validate:"dive,keys,name,endkeys"`
	Classes  map[string]Class   `yaml:"classes" validate:"dive,keys,name,endkeys"`
}

// Service is the configuration of one service.
type Service struct {
	// Rules maps "METHOD", "/path" or "METHOD /path" to a rule. The rule with
	// the longest matching path applies; among equal paths, one with a method
	// takes precedence.
	Rules   map[string]Rule   `yaml:"rules,omitempty" validate:"dive,keys,rule,endkeys,oneof=idempotent non-idempotent"`
	Retry   Retry             `yaml:"retry,omitempty"`
	Hedge   Hedge             `yaml:"hedge,omitempty"`
	Queue   *int              `yaml:"queue,omitempty" validate:"omitempty,min=0,max=10000"`
	Timeout Timeout           `yaml:"timeout,omitempty"`
	Servers map[string]Server `yaml:"servers,omitempty" validate:"dive,keys,required,endkeys"`
}

// Rule classifies requests as safe or unsafe to run more than once.
type Rule string

// Rules of a service.
const (
	Idempotent    Rule = "idempotent"
	NonIdempotent Rule = "non-idempotent"
)

// Retry limits the retries of one request, and the ratio of retries to all
// requests.
type Retry struct {
	Limit *int     `yaml:"limit,omitempty" validate:"omitempty,min=0,max=10"`
	Ratio *float64 `yaml:"ratio,omitempty" validate:"omitempty,min=0,max=0.5"`
}

// Hedge configures hedged requests: second copies of slow idempotent requests.
type Hedge struct {
	Ratio *float64 `yaml:"ratio,omitempty" validate:"omitempty,min=0,max=0.1"`
	After *float64 `yaml:"after,omitempty" validate:"omitempty,min=0.5,max=0.9999"` // latency quantile of the class after which to hedge
}

// Timeout holds the default and the maximum of the Request-Timeout header.
type Timeout struct {
	Default time.Duration `yaml:"default,omitempty" validate:"omitempty,min=1ms,max=30s"`
	Longest time.Duration `yaml:"longest,omitempty" validate:"omitempty,min=1ms,max=30s"`
}

// Server overrides what one backend server announces. The map key is the ID of
// the node that runs beside the server.
type Server struct {
	Slots   int  `yaml:"slots,omitempty" validate:"min=0,max=10000"` // zero keeps the announced slots
	Drained bool `yaml:"drained,omitempty"`
}

// LinkBudgets maps the source region, then the destination region, to a budget.
type LinkBudgets map[string]map[string]Budget

// Budgets limits measuring traffic, per node and over all nodes together.
type Budgets struct {
	Server *Budget     `yaml:"server,omitempty"` // for each backend server
	Link   *Budget     `yaml:"link,omitempty"`   // for each link without its own entry
	Links  LinkBudgets `yaml:"links,omitempty" validate:"dive,keys,name,endkeys,dive,keys,name,endkeys"`
	Total  Totals      `yaml:"total,omitempty"`
}

// Totals limits the sum over all nodes, in addition to the budget of each node.
type Totals struct {
	Server *Budget     `yaml:"server,omitempty"` // for each backend server
	Links  LinkBudgets `yaml:"links,omitempty" validate:"dive,keys,name,endkeys,dive,keys,name,endkeys"`
}

// Budget limits messages and bytes per second. Zero in both disables measuring.
type Budget struct {
	Messages int `yaml:"messages" validate:"min=0,max=100000"`
	Bytes    int `yaml:"bytes" validate:"min=0,max=100000000"`
}

// Tenant is one customer. Its weight sets its share of each queue.
type Tenant struct {
	Weight int `yaml:"weight,omitempty" validate:"min=0,max=1000"` // zero means DefaultWeight
}

// Class is a request class. Classes with a lower priority number are served
// first.
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

// RetryLimit returns the maximum number of retries of one request and the maximum
// ratio of retries to requests.
func (s Service) RetryLimit() (limit int, ratio float64) {
	return valueOr(s.Retry.Limit, DefaultRetries), valueOr(s.Retry.Ratio, DefaultRetryRatio)
}

// HedgeLimit returns the maximum ratio of hedged requests and the latency quantile
// after which a request is hedged.
func (s Service) HedgeLimit() (ratio, after float64) {
	return valueOr(s.Hedge.Ratio, DefaultHedgeRatio), valueOr(s.Hedge.After, DefaultHedgeAfter)
}

// QueueLength returns the capacity of the queue in front of each server.
func (s Service) QueueLength() int { return valueOr(s.Queue, DefaultQueue) }

// Timeouts returns the timeout of requests that set none, and the longest timeout
// that a request may set.
func (s Service) Timeouts() (defaultTimeout, longest time.Duration) {
	longest = s.Timeout.Longest
	if longest == 0 {
		longest = LongestTimeout
	}
	defaultTimeout = s.Timeout.Default
	if defaultTimeout == 0 {
		defaultTimeout = min(DefaultTimeout, longest)
	}
	return defaultTimeout, longest
}

// ServerBudget returns the measuring budget for each backend server.
func (d Document) ServerBudget() Budget { return valueOr(d.Budgets.Server, DefaultServerBudget) }

// LinkBudget returns the measuring budget for the link between two regions.
func (d Document) LinkBudget(from, to string) Budget {
	if b, ok := d.Budgets.Links[from][to]; ok {
		return b
	}
	return valueOr(d.Budgets.Link, DefaultLinkBudget)
}

// ServerTotal returns the measuring budget for one server over all nodes.
func (d Document) ServerTotal() Budget { return valueOr(d.Budgets.Total.Server, DefaultServerTotal) }

// TenantWeight returns the weight of the tenant in each queue, or DefaultWeight if
// the document sets none.
func (d Document) TenantWeight(name string) int { return max(d.Tenants[name].Weight, DefaultWeight) }

func valueOr[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}
