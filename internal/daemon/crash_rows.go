package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

const (
	// crashPrefix is the prefix of the keys of crashes in the table service.
	crashPrefix = "crash/"
	// maxCrashRows bounds the rows of crashes of one node. Crashes that share a row
	// replace one another.
	maxCrashRows = 16
)

// crashRows stores crashes of backend servers in the table service, so that they outlast
// a restart of all nodes.
type crashRows struct {
	table.Client
}

// savedCrash is the value of a row of a crash.
type savedCrash struct {
	Incident quarantine.Incident `msgpack:"i"`
	// At is the time of the crash in Unix milliseconds, by the clock of the host.
	At int64 `msgpack:"t"`
}

func (r crashRows) save(ctx context.Context, service, node string, i quarantine.Incident) error {
	value, err := msgpack.Marshal(savedCrash{Incident: i.WithAge(0), At: time.Now().Add(-i.Age).UnixMilli()})
	if err != nil {
		return err
	}
	key := crashPrefix + service + "/" + node + "/" + strconv.FormatUint(i.ID%maxCrashRows, 10)
	old, err := r.Get(ctx, key)
	switch {
	case fault.Is(err, fault.KindNotFound):
		_, err = r.Create(ctx, key, value)
	case err == nil:
		_, err = r.Swap(ctx, key, old.Tag, value)
	}
	return err
}

// list returns the saved crashes of a service with their ages. Clocks of hosts differ by
// far less than the quarantine lasts.
func (r crashRows) list(ctx context.Context, service string) ([]quarantine.Incident, error) {
	rows, err := r.List(ctx, crashPrefix+service+"/")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	var found []quarantine.Incident
	for _, row := range rows {
		var c savedCrash
		if wire.Unmarshal(row.Value, &c) != nil {
			continue
		}
		if i := c.Incident.WithAge(max(now.Sub(time.UnixMilli(c.At)), 0)); i.Valid() {
			found = append(found, i)
		}
	}
	return found, nil
}
