package grant

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// takeOver passes on the slots of one owner that is gone. The transaction
// increments the old owner's epoch, so that its late claims fail.
func (gr *Grant) takeOver(ctx context.Context, le *Lease, sl *Slots, version uint64) (bool, error) {
	for name, member := range sl.Members {
		if name == gr.set.Upstream || !gr.suspected(name, member) {
			continue
		}
		var (
			rec Record
			ep  EpochRow
		)
		recVer, err := gr.read(ctx, GrantKey(name), &rec)
		if err != nil {
			return false, err
		}
		gr.until[name] = rec.Until
		if recVer == 0 || !gr.gone(rec) {
			continue
		}
		epVer, err := gr.read(ctx, EpochKey(name), &ep)
		if err != nil {
			return false, err
		}
		doubt := Doubt{Upstream: name, Epoch: rec.Epoch, From: rec.CheckpointAt, To: gr.clk.Now()}
		rec.Epoch, rec.State, rec.OpID = max(rec.Epoch, ep.Epoch)+1, Closed, citronstream.NewID()
		delete(sl.Members, name)
		keep := sl.share() - len(sl.owned(gr.set.Upstream, le.Epoch))
		sl.pass(name, doubt, gr.set.Upstream, le.Epoch, keep)
		err = gr.store(ctx, le, sl, version,
			put(GrantKey(name), recVer, rec), put(EpochKey(name), epVer, EpochRow{rec.Epoch, rec.OpID}))
		if err != nil {
			return false, err
		}
		delete(gr.until, name)
		gr.takeovers.Add(1)
		return true, nil
	}
	return false, nil
}

// suspected decides from what is known here whether reading a member's Grant
// row is worth it. Each row is read about once in GrantFor when all is well.
func (gr *Grant) suspected(name string, member Member) bool {
	return gr.vanished(member.Instance) || member.Address == gr.set.Address ||
		gr.clk.Now().After(gr.until[name].Add(Margin))
}

// settle asks the entries about one interval of uncertainty of the owned
// slots. The interval ends if every entry confirms and had started before it.
func (gr *Grant) settle(ctx context.Context, le *Lease, sl *Slots, version uint64) (bool, error) {
	if gr.witness == nil {
		return false, nil
	}
	var asked []Doubt
	for _, i := range sl.owned(gr.set.Upstream, le.Epoch) {
		for _, do := range sl.Slots[i].Doubts {
			if slices.Contains(asked, do) || gr.clk.Now().Sub(do.To) > gr.lim.KeyRetention.Std() {
				continue
			}
			asked = append(asked, do)
			if !gr.settled1(ctx, do) {
				continue
			}
			for j := range sl.Slots {
				sl.Slots[j].Doubts = slices.DeleteFunc(slices.Clone(sl.Slots[j].Doubts), func(other Doubt) bool { return other == do })
			}
			if err := gr.store(ctx, le, sl, version); err != nil {
				return false, err
			}
			gr.settled.Add(1)
			return true, nil
		}
	}
	return false, nil
}

func (gr *Grant) settled1(ctx context.Context, do Doubt) bool {
	ctx, cancel := WithTimeout(ctx, gr.clk, settleWait)
	defer cancel()
	started, all := gr.witness.Resolve(ctx, do.Upstream, do.Epoch)
	return all && started.Add(MaxAge+Skew).Before(do.From)
}

// adjust acquires unowned slots up to the share and releases the excess. A
// slot is released only when no call of it runs and all of its keys are recorded.
func (gr *Grant) adjust(ctx context.Context, le *Lease, sl *Slots, version uint64) error {
	mine := sl.owned(gr.set.Upstream, le.Epoch)
	_, member := sl.Members[gr.set.Upstream]
	if !member {
		gr.join(sl, le.Epoch, "")
	}
	share := sl.share()
	for _, i := range mine {
		if len(mine)-len(gr.closing) > share && !gr.closing[i] {
			gr.closing[i] = true
			gr.held[i].Store(nil)
		}
	}
	var took, freed []int
	for i := range gr.closing {
		if gr.busy(i) == 0 {
			sl.Slots[i].Owner, sl.Slots[i].Epoch = "", 0
			freed = append(freed, i)
		}
	}
	for i := range sl.Slots {
		slot := &sl.Slots[i]
		if slot.Owner == "" && len(mine)+len(took) < share && !slices.Contains(freed, i) {
			gr.virgin[i] = !slot.Used
			slot.Owner, slot.Epoch, slot.Used = gr.set.Upstream, le.Epoch, true
			took = append(took, i)
		}
	}
	if member && len(took)+len(freed) == 0 {
		return nil
	}
	if err := gr.store(ctx, le, sl, version); err != nil {
		return err
	}
	for _, i := range freed {
		delete(gr.closing, i)
	}
	gr.acquired.Add(uint64(len(took)))
	gr.released.Add(uint64(len(freed)))
	gr.publish(sl, le)
	return nil
}

func (gr *Grant) busy(slot int) int {
	if gr.work == nil {
		return 0
	}
	return gr.work.Busy(slot)
}

// leave releases everything once nothing runs and all is flushed.
func (gr *Grant) leave(ctx context.Context, le *Lease, sl *Slots, version uint64) error {
	for i := range SlotCount {
		if gr.busy(i) > 0 {
			return nil
		}
	}
	for _, i := range sl.owned(gr.set.Upstream, le.Epoch) {
		sl.Slots[i].Owner, sl.Slots[i].Epoch = "", 0
	}
	delete(sl.Members, gr.set.Upstream)
	rec := gr.rec
	rec.State, rec.OpID, rec.CheckpointAt = Closed, citronstream.NewID(), gr.clk.Now()
	err := gr.store(ctx, le, sl, version, put(GrantKey(gr.set.Upstream), gr.recVer, rec))
	if errors.Is(err, citronstream.ErrConflict) {
		return nil // the next step reads the rows again
	}
	if err == nil {
		gr.lease.Store(nil)
		close(gr.drained)
	}
	return err
}

// close ends a grant without slots when it drains.
func (gr *Grant) close(ctx context.Context) error {
	if !gr.draining.Load() {
		return nil
	}
	err := gr.update(ctx, func(rec *Record) { rec.State, rec.CheckpointAt = Closed, gr.clk.Now() })
	if err == nil && gr.lease.CompareAndSwap(gr.lease.Load(), nil) {
		close(gr.drained)
	}
	return err
}

// nextStep chooses the pause after a step that went through.
func (gr *Grant) nextStep(pause time.Duration) time.Duration {
	if len(gr.closing) > 0 || gr.draining.Load() {
		return quickTick
	}
	return pause
}
