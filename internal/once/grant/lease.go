package grant

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
)

var (
	errHeld    = errors.New("the grant belongs to another process that may be alive")
	errUnknown = errors.New("the outcome of the transaction is unknown")
)

// read reads and decodes a row. For a missing row it returns version 0 and
// leaves value unchanged.
func (gr *Grant) read(ctx context.Context, key string, value any) (uint64, error) {
	ctx, cancel := WithTimeout(ctx, gr.clk, tableTimeout)
	defer cancel()
	row, err := gr.table.Get(ctx, key)
	if errors.Is(err, citronstream.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return row.Version, json.Unmarshal(row.Value, value)
}

// commit sends a transaction and retries it under the same identifier if the
// answer is lost. After errUnknown the transaction may still take effect.
func (gr *Grant) commit(ctx context.Context, tx transaction) error {
	for range 3 {
		writeCtx, cancel := WithTimeout(ctx, gr.clk, tableTimeout)
		err := gr.table.Write(writeCtx, tx.opID, tx.ops...)
		cancel()
		if err == nil || errors.Is(err, citronstream.ErrConflict) {
			return err
		}
		if errors.Is(err, citronstream.ErrUnavailable) || errors.Is(err, citronstream.ErrThrottled) {
			break
		}
	}
	return errUnknown
}

func put(key string, version uint64, value any) citronstream.Op {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the row types always marshal
	}
	return citronstream.Op{Key: key, Value: data, IfVersion: version}
}

// start takes the next epoch. The same transaction moves the slots of the
// predecessor to the new epoch and adds an interval of uncertainty to them.
func (gr *Grant) start(ctx context.Context) error {
	var (
		rec Record
		ep  EpochRow
		sl  Slots
	)
	now := gr.clk.Now()
	recVer, err := gr.read(ctx, GrantKey(gr.settings.Upstream), &rec)
	if err != nil {
		return err
	}
	if recVer != 0 && !gr.hasEnded(rec) {
		return errHeld
	}
	epVer, err := gr.read(ctx, EpochKey(gr.settings.Upstream), &ep)
	if err != nil {
		return err
	}
	var slVer uint64
	if !gr.withoutSlots {
		if slVer, err = gr.read(ctx, SlotsKey(gr.settings.Service), &sl); err != nil {
			return err
		}
	}
	doubt := Doubt{Upstream: gr.settings.Upstream, Epoch: ep.Epoch, From: rec.CheckpointAt, To: now}
	opID, epoch := citronstream.NewID(), ep.Epoch+1
	next := Record{
		Epoch: epoch, Service: gr.settings.Service, Address: gr.settings.Address, Instance: gr.settings.Instance,
		Until: now.Add(gr.limits.GrantFor.Std()), State: Open, CheckpointAt: gr.checkpoint(now, rec.CheckpointAt),
		Token: rec.Token, OpID: opID,
	}
	ops := []citronstream.Op{
		put(GrantKey(gr.settings.Upstream), recVer, next),
		put(EpochKey(gr.settings.Upstream), epVer, EpochRow{epoch, opID}),
	}
	if !gr.withoutSlots {
		sl.reassign(gr.settings.Upstream, doubt, gr.settings.Upstream, epoch, SlotCount)
		gr.join(&sl, epoch, opID)
		ops = append(ops, put(SlotsKey(gr.settings.Service), slVer, sl))
	}
	err = gr.commit(ctx, transaction{opID, ops, slVer})
	if err != nil && !errors.Is(err, errUnknown) && !errors.Is(err, citronstream.ErrConflict) {
		return err
	}
	return gr.confirmStart(ctx, opID, next)
}

// confirmStart reads the epoch back and publishes the lease if start's
// transaction took effect.
func (gr *Grant) confirmStart(ctx context.Context, opID string, next Record) error {
	var ep EpochRow
	epVer, err := gr.read(ctx, EpochKey(gr.settings.Upstream), &ep)
	if err != nil {
		return err
	}
	if ep.OpID != opID {
		return citronstream.ErrConflict
	}
	var rec Record
	if gr.recordVersion, err = gr.read(ctx, GrantKey(gr.settings.Upstream), &rec); err != nil {
		return err
	}
	gr.record, gr.pendingWrite = next, nil
	clear(gr.releasing)
	gr.neverOwned = [SlotCount]bool{}
	gr.starts.Add(1)
	gr.lease.Store(&Lease{Epoch: next.Epoch, Version: epVer, Until: next.Until})
	return nil
}

func (gr *Grant) join(sl *Slots, epoch uint64, opID string) {
	if sl.Members == nil {
		sl.Members = make(map[string]Member)
	}
	sl.Members[gr.settings.Upstream] = Member{epoch, gr.settings.Address, gr.settings.Instance}
	sl.OpID = opID
}

// checkpoint returns now if no key is unflushed, else the previous checkpoint.
// The caller reads the clock first, so that a run that begins in between is
// later than the checkpoint.
func (gr *Grant) checkpoint(now, previous time.Time) time.Time {
	if gr.work == nil || gr.work.Unflushed() == 0 {
		return now
	}
	return previous
}

// epochCondition makes a transaction fail if the epoch is no longer in force.
func (gr *Grant) epochCondition(le *Lease) citronstream.Op {
	return citronstream.Op{Key: EpochKey(gr.settings.Upstream), IfVersion: le.Version, CheckOnly: true}
}

// renew extends the grant. The lease changes only when the extension is confirmed.
func (gr *Grant) renew(ctx context.Context) error {
	now := gr.clk.Now()
	return gr.update(ctx, func(rec *Record) {
		rec.Until = now.Add(gr.limits.GrantFor.Std())
		rec.CheckpointAt = gr.checkpoint(now, rec.CheckpointAt)
	})
}

// update changes the Grant row on the condition that the epoch is in force.
func (gr *Grant) update(ctx context.Context, change func(*Record)) error {
	le := gr.lease.Load()
	if le == nil {
		return errHeld
	}
	for range 3 {
		next := gr.record
		change(&next)
		next.OpID = citronstream.NewID()
		err := gr.commit(ctx, transaction{next.OpID, []citronstream.Op{gr.epochCondition(le), put(GrantKey(gr.settings.Upstream), gr.recordVersion, next)}, 0})
		var ce *citronstream.ConflictError
		if errors.As(err, &ce) && gr.epochChanged(ctx, le) {
			gr.Fenced(le.Epoch)
			return err
		}
		var rec Record
		version, readErr := gr.read(ctx, GrantKey(gr.settings.Upstream), &rec)
		if readErr != nil {
			return readErr
		}
		if rec.Epoch != le.Epoch {
			gr.Fenced(le.Epoch)
			return citronstream.ErrConflict
		}
		gr.record, gr.recordVersion = rec, version
		if rec.OpID == next.OpID {
			gr.renewals.Add(1)
			gr.lease.CompareAndSwap(le, &Lease{Epoch: le.Epoch, Version: le.Version, Until: rec.Until})
			return nil
		}
		if errors.Is(err, errUnknown) {
			return err
		}
	}
	return citronstream.ErrConflict
}

func (gr *Grant) epochChanged(ctx context.Context, le *Lease) bool {
	var ep EpochRow
	version, err := gr.read(ctx, EpochKey(gr.settings.Upstream), &ep)
	return err == nil && version != le.Version
}

// Token returns the highest fencing token of the Grant row, and false while the
// grant has no lease.
func (gr *Grant) Token() (uint64, bool) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.record.Token, gr.lease.Load() != nil
}

// RaiseToken raises the fencing token in the Grant row. A nil error means that
// the row is known to hold at least this token.
func (gr *Grant) RaiseToken(ctx context.Context, token uint64) error {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.update(ctx, func(rec *Record) { rec.Token = max(rec.Token, token) })
}
