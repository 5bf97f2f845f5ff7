// Package doubts lists and lifts the intervals in which a dead owner of slots
// may have run idempotency keys that have no row (design, section 6).
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

// tries bounds the writes that lose against the owners of the slots.
const tries = 8

// Doubts reads and changes the table's rows of the slots.
type Doubts struct {
	clk   citronstream.Clock
	table citronstream.Table
}

// New returns Doubts of a table.
func New(clk citronstream.Clock, ta citronstream.Table) *Doubts { return &Doubts{clk: clk, table: ta} }

// List returns the intervals in force of all services with calls that are not
// idempotent, by service and time. Errors: those of the table.
func (do *Doubts) List(ctx context.Context, fl *citronstream.Fleet) ([]report.Doubt, error) {
	found := []report.Doubt{}
	for i := range fl.Services {
		sv := &fl.Services[i]
		if !slices.ContainsFunc(sv.Calls, func(sc citronstream.ServiceCall) bool { return !sc.Idempotent }) {
			continue
		}
		sl, _, err := do.read(ctx, sv.Name)
		if err != nil {
			return nil, err
		}
		found = append(found, do.inForce(sv.Name, sl, fl.Limits.KeyRetention.Std())...)
	}
	return found, nil
}

func (do *Doubts) inForce(service string, sl *grant.Slots, retention time.Duration) []report.Doubt {
	slots := make(map[grant.Doubt]int)
	for i := range sl.Slots {
		for _, one := range sl.Slots[i].Doubts {
			if do.clk.Now().Before(one.To.Add(retention)) {
				slots[one]++
			}
		}
	}
	found := make([]report.Doubt, 0, len(slots))
	for one, count := range slots {
		found = append(found, report.Doubt{
			Service: service, Upstream: one.Upstream, Epoch: one.Epoch, From: one.From, To: one.To,
			Until: one.To.Add(retention), Slots: count,
		})
	}
	slices.SortFunc(found, func(one, other report.Doubt) int {
		return cmp.Or(one.To.Compare(other.To), cmp.Compare(one.Upstream, other.Upstream))
	})
	return found
}

// Lift removes an interval and returns the number of slots that had it. The
// owners of the slots read their row every few seconds. Errors: those of the
// table, ErrNotFound if no slot has the interval.
func (do *Doubts) Lift(ctx context.Context, li report.LiftDoubt) (int, error) {
	lifted := 0
	for range tries {
		sl, version, err := do.read(ctx, li.Service)
		if err != nil {
			return 0, err
		}
		count := remove(sl, li)
		if count == 0 && lifted == 0 {
			return 0, fmt.Errorf("%w: interval of %s, epoch %d, in service %s", citronstream.ErrNotFound, li.Upstream, li.Epoch, li.Service)
		}
		if count == 0 {
			return lifted, nil // the write whose answer was lost took effect
		}
		lifted = count
		err = do.write(ctx, li.Service, sl, version)
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
		sl.Slots[i].Doubts = slices.DeleteFunc(sl.Slots[i].Doubts, func(one grant.Doubt) bool {
			return one.Upstream == li.Upstream && one.Epoch == li.Epoch
		})
		if len(sl.Slots[i].Doubts) < before {
			count++
		}
	}
	return count
}

func (do *Doubts) read(ctx context.Context, service string) (*grant.Slots, uint64, error) {
	row, err := do.table.Get(ctx, grant.SlotsKey(service))
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

// write keeps the row's operation identifier apart from those of the owners,
// which look for their own in it.
func (do *Doubts) write(ctx context.Context, service string, sl *grant.Slots, version uint64) error {
	sl.OpID = citronstream.NewID()
	value, err := json.Marshal(sl)
	if err != nil {
		return err
	}
	return do.table.Write(ctx, sl.OpID, citronstream.Op{Key: grant.SlotsKey(service), Value: value, IfVersion: version})
}
