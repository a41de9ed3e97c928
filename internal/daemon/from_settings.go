package daemon

import (
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/settings"
)

// FromSettings turns checked settings into the options of a node.
func FromSettings(s settings.Settings, credentials *node.Credentials, logger log.Interface) Options {
	return Options{
		ID: s.Node.ID, Region: s.Node.Region, Domain: s.Node.Domain,
		Caller: s.Listen.Caller, Peer: s.Listen.Peer, Announce: s.Listen.Announce,
		Operator: s.Listen.Operator, TokenSecret: s.Tokens.Secret,
		Advertise: s.Listen.Advertise, Seeds: s.Seeds, Credentials: credentials,
		Secret: s.Secret, Table: s.Store.Table, Object: s.Store.Object,
		StoreTimeout: time.Duration(s.Store.Timeout), First: s.Node.First,
		MaxBody: int(s.Body), Notice: time.Duration(s.Notice), Log: logger,
	}
}
