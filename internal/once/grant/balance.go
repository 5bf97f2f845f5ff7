package grant

import (
	"context"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
)

// balance brings the Slots row towards the fair share and publishes the
// slots that this process owns.
func (gr *Grant) balance(ctx context.Context) error {
	le := gr.lease.Load()
	if le == nil {
		return errHeld
	}
	if gr.bare {
		return gr.close(ctx)
	}
	if err := gr.resolve(ctx); err != nil {
		return err
	}
	var sl Slots
	version, err := gr.read(ctx, SlotsKey(gr.set.Service), &sl)
	if err != nil {
		return err
	}
	gr.publish(&sl, le)
	if gr.draining.Load() {
		return gr.leave(ctx, le, &sl, version)
	}
	took, err := gr.takeOver(ctx, le, &sl, version)
	if err != nil {
		return err
	}
	settled := false
	if !took {
		if settled, err = gr.settle(ctx, le, &sl, version); err != nil {
			return err
		}
	}
	if took || settled {
		gr.poke() // go on from the new state of the row
		return nil
	}
	return gr.adjust(ctx, le, &sl, version)
}

// resolve repeats a write of the Slots row until its outcome is known. Before
// that, a release could still take effect after its slots were used again. A
// row that has moved past the write's version settles it: either the write
// took effect, or its condition can't hold any more.
func (gr *Grant) resolve(ctx context.Context) error {
	if gr.pending == nil {
		return nil
	}
	if err := gr.commit(ctx, *gr.pending); errors.Is(err, errUnknown) {
		var sl Slots
		version, rerr := gr.read(ctx, SlotsKey(gr.set.Service), &sl)
		if rerr != nil || version == gr.pending.version {
			return err
		}
	}
	gr.pending = nil
	return nil
}

// store writes the Slots row, with further operations.
func (gr *Grant) store(ctx context.Context, le *Lease, sl *Slots, version uint64, more ...citronstream.Op) error {
	sl.OpID = citronstream.NewID()
	sl.prune(gr.clk.Now(), gr.lim.KeyRetention.Std())
	ops := append([]citronstream.Op{gr.check(le), put(SlotsKey(gr.set.Service), version, *sl)}, more...)
	wr := write{sl.OpID, ops, version}
	err := gr.commit(ctx, wr)
	if errors.Is(err, errUnknown) {
		var now Slots
		if _, rerr := gr.read(ctx, SlotsKey(gr.set.Service), &now); rerr == nil && now.OpID == sl.OpID {
			return nil
		}
		gr.pending = &wr
	}
	if errors.Is(err, citronstream.ErrConflict) && gr.epochMoved(ctx, le) {
		gr.Fenced(le.Epoch)
	}
	return err
}

// publish makes the slots that the row gives to this epoch readable, but for
// those that are being released.
func (gr *Grant) publish(sl *Slots, le *Lease) {
	now := gr.clk.Now()
	for i, slot := range sl.Slots {
		if slot.Owner != gr.set.Upstream || slot.Epoch != le.Epoch || gr.closing[i] || gr.draining.Load() {
			gr.held[i].Store(nil)
			gr.virgin[i] = gr.virgin[i] && slot.Owner == gr.set.Upstream
			if slot.Owner != gr.set.Upstream {
				delete(gr.closing, i)
			}
			continue
		}
		next := Held{Since: now}
		if old := gr.held[i].Load(); old != nil {
			next.Since = old.Since
		} else if gr.virgin[i] {
			next.Since = time.Time{}
		}
		for _, do := range slot.Doubts {
			if do.To.After(next.DoubtTo) && now.Sub(do.To) <= gr.lim.KeyRetention.Std() {
				next.DoubtTo = do.To
			}
		}
		gr.held[i].Store(&next)
	}
	if gr.lease.Load() == nil { // Fenced ran meanwhile
		for i := range gr.held {
			gr.held[i].Store(nil)
		}
	}
}
