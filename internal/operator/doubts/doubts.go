// Package doubts lists and lifts intervals of uncertainty, in which a dead
// owner of slots may have run idempotency keys that have no row (design,
// section 6).
package doubts

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/operator/report"
)

// maxTries bounds the writes that conflict with those of the slots' owners or
// whose outcome is unknown.
const maxTries = 8

// Doubts reads and changes the slots' rows in the table.
type Doubts struct {
	clk   citronstream.Clock
	table citronstream.Table
}

// New returns the Doubts of a table.
func New(clk citronstream.Clock, ta citronstream.Table) *Doubts { return &Doubts{clk: clk, table: ta} }

// List returns the intervals in force of all services with calls that are not
// idempotent, by service and time. Errors: those of the table.
func (ds *Doubts) List(ctx context.Context, fl *citronstream.Fleet) ([]report.Doubt, error) {
	found := []report.Doubt{}
	for i := range fl.Services {
		sv := &fl.Services[i]
		if !slices.ContainsFunc(sv.Calls, func(sc citronstream.ServiceCall) bool { return !sc.Idempotent }) {
			continue
		}
		sl, _, err := ds.read(ctx, sv.Name)
		if err != nil {
			return nil, err
		}
		found = append(found, ds.inForce(sv.Name, sl, fl.Limits.KeyRetention.Std())...)
	}
	return found, nil
}

func (ds *Doubts) inForce(service string, sl *grant.Slots, retention time.Duration) []report.Doubt {
	slots := make(map[grant.Doubt]int)
	for i := range sl.Slots {
		for _, dt := range sl.Slots[i].Doubts {
			if ds.clk.Now().Before(dt.To.Add(retention)) {
				slots[dt]++
			}
		}
	}
	found := make([]report.Doubt, 0, len(slots))
	for dt, count := range slots {
		found = append(found, report.Doubt{
			Service: service, Upstream: dt.Upstream, Epoch: dt.Epoch, From: dt.From, To: dt.To,
			Until: dt.To.Add(retention), Slots: count,
		})
	}
	slices.SortFunc(found, func(dt, other report.Doubt) int {
		return cmp.Or(dt.To.Compare(other.To), cmp.Compare(dt.Upstream, other.Upstream))
	})
	return found
}

// Lift removes an interval and returns the number of slots that had it. The
// owners of the slots read their row every few seconds. Errors: those of the
// table, ErrNotFound if no slot has the interval.
func (ds *Doubts) Lift(ctx context.Context, li report.LiftDoubt) (int, error) {
	lifted := 0
	for range maxTries {
		sl, version, err := ds.read(ctx, li.Service)
		if err != nil {
			return 0, err
		}
		count := remove(sl, li)
		if count == 0 && lifted == 0 {
			return 0, fmt.Errorf("%w: interval of uncertainty of %s, epoch %d, in service %s", citronstream.ErrNotFound, li.Upstream, li.Epoch, li.Service)
		}
		if count == 0 {
			return lifted, nil // an earlier write of unknown outcome took effect
		}
		lifted = count
		err = ds.write(ctx, li.Service, sl, version)
		if err == nil {
			return lifted, nil
		}
		if !errors.Is(err, citronstream.ErrConflict) && !errors.Is(err, citronstream.ErrUnknownOutcome) {
			return 0, err
		}
	}
	return 0, citronstream.ErrConflict
}

func remove(sl *grant.Slots, li report.LiftDoubt) int {
	count := 0
	for i := range sl.Slots {
		before := len(sl.Slots[i].Doubts)
		sl.Slots[i].Doubts = slices.DeleteFunc(sl.Slots[i].Doubts, func(dt grant.Doubt) bool {
			return dt.Upstream == li.Upstream && dt.Epoch == li.Epoch
		})
		if len(sl.Slots[i].Doubts) < before {
			count++
		}
	}
	return count
}

func (ds *Doubts) read(ctx context.Context, service string) (*grant.Slots, uint64, error) {
	row, err := ds.table.Get(ctx, grant.SlotsKey(service))
	if errors.Is(err, citronstream.ErrNotFound) {
		return &grant.Slots{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var sl grant.Slots
	if err := json.Unmarshal(row.Value, &sl); err != nil {
		return nil, 0, fmt.Errorf("row %s: %w", grant.SlotsKey(service), err)
	}
	return &sl, row.Version, nil
}

// write gives the row an operation identifier of its own: an owner recognizes
// its own write by the identifier in the row.
func (ds *Doubts) write(ctx context.Context, service string, sl *grant.Slots, version uint64) error {
	sl.OpID = citronstream.NewID()
	value, err := json.Marshal(sl)
	if err != nil {
		return err
	}
	return ds.table.Write(ctx, sl.OpID, citronstream.Op{Key: grant.SlotsKey(service), Value: value, IfVersion: version})
}
