package grant

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// takeOver reassigns the slots of one owner that has ended. The transaction
// increments the old owner's epoch, so that its late claims fail.
func (gr *Grant) takeOver(ctx context.Context, le *Lease, sl *Slots, version uint64) (bool, error) {
	for name, member := range sl.Members {
		if name == gr.settings.Upstream || !gr.suspected(name, member) {
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
		gr.knownUntil[name] = rec.Until
		if recVer == 0 || !gr.hasEnded(rec) {
			continue
		}
		epVer, err := gr.read(ctx, EpochKey(name), &ep)
		if err != nil {
			return false, err
		}
		doubt := Doubt{Upstream: name, Epoch: rec.Epoch, From: rec.CheckpointAt, To: gr.clk.Now()}
		rec.Epoch, rec.State, rec.OpID = max(rec.Epoch, ep.Epoch)+1, Closed, citronstream.NewID()
		delete(sl.Members, name)
		limit := sl.share() - len(sl.owned(gr.settings.Upstream, le.Epoch))
		sl.reassign(name, doubt, gr.settings.Upstream, le.Epoch, limit)
		err = gr.writeSlots(ctx, le, sl, version,
			put(GrantKey(name), recVer, rec), put(EpochKey(name), epVer, EpochRow{rec.Epoch, rec.OpID}))
		if err != nil {
			return false, err
		}
		delete(gr.knownUntil, name)
		gr.takeovers.Add(1)
		return true, nil
	}
	return false, nil
}

// suspected reports whether a member may have ended, so that its Grant row has
// to be read. While members renew, each row is read about once in GrantFor.
func (gr *Grant) suspected(name string, member Member) bool {
	return gr.delisted(member.Instance) || member.Address == gr.settings.Address ||
		gr.clk.Now().After(gr.knownUntil[name].Add(ExpiryMargin))
}

// resolveDoubt removes one interval of uncertainty of the owned slots, if the
// entries confirm that it can end. It reports whether it removed one.
func (gr *Grant) resolveDoubt(ctx context.Context, le *Lease, sl *Slots, version uint64) (bool, error) {
	if gr.resolver == nil {
		return false, nil
	}
	var asked []Doubt
	for _, i := range sl.owned(gr.settings.Upstream, le.Epoch) {
		for _, dt := range sl.Slots[i].Doubts {
			if slices.Contains(asked, dt) || gr.clk.Now().Sub(dt.To) > gr.limits.KeyRetention.Std() {
				continue
			}
			asked = append(asked, dt)
			if !gr.confirmedByEntries(ctx, dt) {
				continue
			}
			for j := range sl.Slots {
				sl.Slots[j].Doubts = slices.DeleteFunc(slices.Clone(sl.Slots[j].Doubts), func(other Doubt) bool { return other == dt })
			}
			if err := gr.writeSlots(ctx, le, sl, version); err != nil {
				return false, err
			}
			gr.resolvedDoubts.Add(1)
			return true, nil
		}
	}
	return false, nil
}

// confirmedByEntries reports whether every entry has written the rows of the
// keys that it sent to the former owner, and had started early enough before
// the interval to know all of them.
func (gr *Grant) confirmedByEntries(ctx context.Context, dt Doubt) bool {
	ctx, cancel := WithTimeout(ctx, gr.clk, entriesTimeout)
	defer cancel()
	started, all := gr.resolver.Resolve(ctx, dt.Upstream, dt.Epoch)
	return all && started.Add(MaxCallAge+ClockSkew).Before(dt.From)
}

// adjustToShare acquires unowned slots up to the share and releases the excess.
// A slot is released only when it has no running call and no unrecorded key.
func (gr *Grant) adjustToShare(ctx context.Context, le *Lease, sl *Slots, version uint64) error {
	owned := sl.owned(gr.settings.Upstream, le.Epoch)
	_, member := sl.Members[gr.settings.Upstream]
	if !member {
		gr.join(sl, le.Epoch, "")
	}
	share := sl.share()
	for _, i := range owned {
		if len(owned)-len(gr.releasing) > share && !gr.releasing[i] {
			gr.releasing[i] = true
			gr.held[i].Store(nil)
		}
	}
	var acquired, released []int
	for i := range gr.releasing {
		if gr.busy(i) == 0 {
			sl.Slots[i].Owner, sl.Slots[i].Epoch = "", 0
			released = append(released, i)
		}
	}
	for i := range sl.Slots {
		slot := &sl.Slots[i]
		if slot.Owner == "" && len(owned)+len(acquired) < share && !slices.Contains(released, i) {
			gr.neverOwned[i] = !slot.Used
			slot.Owner, slot.Epoch, slot.Used = gr.settings.Upstream, le.Epoch, true
			acquired = append(acquired, i)
		}
	}
	if member && len(acquired)+len(released) == 0 {
		return nil
	}
	if err := gr.writeSlots(ctx, le, sl, version); err != nil {
		return err
	}
	for _, i := range released {
		delete(gr.releasing, i)
	}
	gr.acquired.Add(uint64(len(acquired)))
	gr.released.Add(uint64(len(released)))
	gr.publish(sl, le)
	return nil
}

func (gr *Grant) busy(slot int) int {
	if gr.work == nil {
		return 0
	}
	return gr.work.Busy(slot)
}

// leave releases all slots and closes the grant once no call runs and all keys
// are recorded.
func (gr *Grant) leave(ctx context.Context, le *Lease, sl *Slots, version uint64) error {
	for i := range SlotCount {
		if gr.busy(i) > 0 {
			return nil
		}
	}
	for _, i := range sl.owned(gr.settings.Upstream, le.Epoch) {
		sl.Slots[i].Owner, sl.Slots[i].Epoch = "", 0
	}
	delete(sl.Members, gr.settings.Upstream)
	rec := gr.record
	rec.State, rec.OpID, rec.CheckpointAt = Closed, citronstream.NewID(), gr.clk.Now()
	err := gr.writeSlots(ctx, le, sl, version, put(GrantKey(gr.settings.Upstream), gr.recordVersion, rec))
	if errors.Is(err, citronstream.ErrConflict) {
		return nil // the next step reads the rows again
	}
	if err == nil {
		gr.lease.Store(nil)
		close(gr.drained)
	}
	return err
}

// close closes a grant without slots when it is draining.
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

// nextStep returns the pause after a successful step.
func (gr *Grant) nextStep(pause time.Duration) time.Duration {
	if len(gr.releasing) > 0 || gr.draining.Load() {
		return releasePollInterval
	}
	return pause
}
