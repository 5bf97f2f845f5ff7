package grant

import (
	"context"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
)

// balance publishes the slots that this process owns and makes at most one
// change to the Slots row: a takeover, the end of a doubt, or a step towards
// the fair share.
func (gr *Grant) balance(ctx context.Context) error {
	le := gr.lease.Load()
	if le == nil {
		return errHeld
	}
	if gr.withoutSlots {
		return gr.close(ctx)
	}
	if err := gr.retryPendingWrite(ctx); err != nil {
		return err
	}
	var sl Slots
	version, err := gr.read(ctx, SlotsKey(gr.settings.Service), &sl)
	if err != nil {
		return err
	}
	gr.publish(&sl, le)
	if gr.draining.Load() {
		return gr.leave(ctx, le, &sl, version)
	}
	tookOver, err := gr.takeOver(ctx, le, &sl, version)
	if err != nil {
		return err
	}
	resolved := false
	if !tookOver {
		if resolved, err = gr.resolveDoubt(ctx, le, &sl, version); err != nil {
			return err
		}
	}
	if tookOver || resolved {
		gr.signal() // the next step reads the changed row
		return nil
	}
	return gr.adjustToShare(ctx, le, &sl, version)
}

// retryPendingWrite repeats a write of the Slots row until its outcome is known,
// as a release could otherwise still take effect after its slots were used
// again. A changed version of the row also ends it: either the write took
// effect, or its condition can no longer hold.
func (gr *Grant) retryPendingWrite(ctx context.Context) error {
	if gr.pendingWrite == nil {
		return nil
	}
	if err := gr.commit(ctx, *gr.pendingWrite); errors.Is(err, errUnknown) {
		var sl Slots
		version, readErr := gr.read(ctx, SlotsKey(gr.settings.Service), &sl)
		if readErr != nil || version == gr.pendingWrite.version {
			return err
		}
	}
	gr.pendingWrite = nil
	return nil
}

// writeSlots writes the Slots row and the additional operations in one transaction.
func (gr *Grant) writeSlots(ctx context.Context, le *Lease, sl *Slots, version uint64, extra ...citronstream.Op) error {
	sl.OpID = citronstream.NewID()
	sl.prune(gr.clk.Now(), gr.limits.KeyRetention.Std())
	ops := append([]citronstream.Op{gr.epochCondition(le), put(SlotsKey(gr.settings.Service), version, *sl)}, extra...)
	tx := transaction{sl.OpID, ops, version}
	err := gr.commit(ctx, tx)
	if errors.Is(err, errUnknown) {
		var current Slots
		if _, readErr := gr.read(ctx, SlotsKey(gr.settings.Service), &current); readErr == nil && current.OpID == sl.OpID {
			return nil
		}
		gr.pendingWrite = &tx
	}
	if errors.Is(err, citronstream.ErrConflict) && gr.epochChanged(ctx, le) {
		gr.Fenced(le.Epoch)
	}
	return err
}

// publish updates the owned slots from the row, without those that are being
// released.
func (gr *Grant) publish(sl *Slots, le *Lease) {
	now := gr.clk.Now()
	for i, slot := range sl.Slots {
		if slot.Owner != gr.settings.Upstream || slot.Epoch != le.Epoch || gr.releasing[i] || gr.draining.Load() {
			gr.held[i].Store(nil)
			gr.neverOwned[i] = gr.neverOwned[i] && slot.Owner == gr.settings.Upstream
			if slot.Owner != gr.settings.Upstream {
				delete(gr.releasing, i)
			}
			continue
		}
		next := OwnedSlot{Since: now}
		if old := gr.held[i].Load(); old != nil {
			next.Since = old.Since
		} else if gr.neverOwned[i] {
			next.Since = time.Time{}
		}
		for _, dt := range slot.Doubts {
			if dt.To.After(next.DoubtTo) && now.Sub(dt.To) <= gr.limits.KeyRetention.Std() {
				next.DoubtTo = dt.To
			}
		}
		gr.held[i].Store(&next)
	}
	if gr.lease.Load() == nil { // Fenced was called in between
		for i := range gr.held {
			gr.held[i].Store(nil)
		}
	}
}
