package daemon

import (
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/settings"
	"github.com/vanillasail/vanillasail/pkg/budget"
)

// FromSettings converts validated settings to the options of a node.
func FromSettings(s settings.Settings, credentials *node.Credentials, logger log.Interface) Options {
	return Options{
		ID: s.Node.ID, Region: s.Node.Region, Domain: s.Node.Domain,
		Caller: s.Listen.Caller, Peer: s.Listen.Peer, Announce: s.Listen.Announce,
		Operator: s.Listen.Operator, TokenSecret: s.Tokens.Secret,
		Advertise: s.Listen.Advertise, Seeds: s.Seeds, Credentials: credentials,
		Secret: s.Secret, Table: s.Store.Table, Object: s.Store.Object,
		StoreTimeout: time.Duration(s.Store.Timeout), First: s.Node.First,
		ServerBudget: &budget.Rate{Messages: s.Budget.Server.Messages, Bytes: int64(s.Budget.Server.Bytes)},
		LinkBudget:   &budget.Rate{Messages: s.Budget.Link.Messages, Bytes: int64(s.Budget.Link.Bytes)},
		MaxBody:      int(s.Body), MaxBodies: int(s.Bodies), Notice: time.Duration(s.Notice),
		Growth: s.Memory.Growth, Log: logger,
	}
}
