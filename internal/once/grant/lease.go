package grant

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
)

var (
	errHeld    = errors.New("the grant is held by a process that may be alive")
	errUnknown = errors.New("outcome of a transaction is unknown")
)

// read decodes a row. A missing row leaves value unchanged and gives version 0.
func (gr *Grant) read(ctx context.Context, key string, value any) (uint64, error) {
	ctx, cancel := WithTimeout(ctx, gr.clk, tableWait)
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

// commit sends a transaction, and sends it again under the same identifier
// when its answer is lost. It returns errUnknown if the outcome stays unknown:
// the transaction may then still take effect later.
func (gr *Grant) commit(ctx context.Context, wr write) error {
	for range 3 {
		wctx, cancel := WithTimeout(ctx, gr.clk, tableWait)
		err := gr.table.Write(wctx, wr.opID, wr.ops...)
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

// start takes the next epoch. Slots of the predecessor pass to the new epoch
// in the same transaction, with an interval of uncertainty.
func (gr *Grant) start(ctx context.Context) error {
	var (
		rec Record
		ep  EpochRow
		sl  Slots
	)
	now := gr.clk.Now()
	recVer, err := gr.read(ctx, GrantKey(gr.set.Upstream), &rec)
	if err != nil {
		return err
	}
	if recVer != 0 && !gr.gone(rec) {
		return errHeld
	}
	epVer, err := gr.read(ctx, EpochKey(gr.set.Upstream), &ep)
	if err != nil {
		return err
	}
	var slVer uint64
	if !gr.bare {
		if slVer, err = gr.read(ctx, SlotsKey(gr.set.Service), &sl); err != nil {
			return err
		}
	}
	doubt := Doubt{Upstream: gr.set.Upstream, Epoch: ep.Epoch, From: rec.CheckpointAt, To: now}
	opID, epoch := citronstream.NewID(), ep.Epoch+1
	next := Record{
		Epoch: epoch, Service: gr.set.Service, Address: gr.set.Address, Instance: gr.set.Instance,
		Until: now.Add(gr.lim.GrantFor.Std()), State: Open, CheckpointAt: gr.checkpoint(now, rec.CheckpointAt),
		Token: rec.Token, OpID: opID,
	}
	ops := []citronstream.Op{
		put(GrantKey(gr.set.Upstream), recVer, next),
		put(EpochKey(gr.set.Upstream), epVer, EpochRow{epoch, opID}),
	}
	if !gr.bare {
		sl.pass(gr.set.Upstream, doubt, gr.set.Upstream, epoch, SlotCount)
		gr.join(&sl, epoch, opID)
		ops = append(ops, put(SlotsKey(gr.set.Service), slVer, sl))
	}
	err = gr.commit(ctx, write{opID, ops, slVer})
	if err != nil && !errors.Is(err, errUnknown) && !errors.Is(err, citronstream.ErrConflict) {
		return err
	}
	return gr.adopt(ctx, opID, next)
}

// adopt reads back what start wrote and publishes the lease if it is in force.
func (gr *Grant) adopt(ctx context.Context, opID string, next Record) error {
	var ep EpochRow
	epVer, err := gr.read(ctx, EpochKey(gr.set.Upstream), &ep)
	if err != nil {
		return err
	}
	if ep.OpID != opID {
		return citronstream.ErrConflict
	}
	var rec Record
	if gr.recVer, err = gr.read(ctx, GrantKey(gr.set.Upstream), &rec); err != nil {
		return err
	}
	gr.rec, gr.pending = next, nil
	clear(gr.closing)
	gr.virgin = [SlotCount]bool{}
	gr.starts.Add(1)
	gr.lease.Store(&Lease{Epoch: next.Epoch, Version: epVer, Until: next.Until})
	return nil
}

func (gr *Grant) join(sl *Slots, epoch uint64, opID string) {
	if sl.Members == nil {
		sl.Members = make(map[string]Member)
	}
	sl.Members[gr.set.Upstream] = Member{epoch, gr.set.Address, gr.set.Instance}
	sl.OpID = opID
}

// checkpoint returns now if nothing is unflushed, else the earlier checkpoint.
// The caller has read the clock before, so that a run that begins meanwhile
// is later than the checkpoint.
func (gr *Grant) checkpoint(now, before time.Time) time.Time {
	if gr.work == nil || gr.work.Unflushed() == 0 {
		return now
	}
	return before
}

// check is the condition that this epoch is still in force.
func (gr *Grant) check(le *Lease) citronstream.Op {
	return citronstream.Op{Key: EpochKey(gr.set.Upstream), IfVersion: le.Version, CheckOnly: true}
}

// renew extends the grant. Only a confirmed extension is used.
func (gr *Grant) renew(ctx context.Context) error {
	now := gr.clk.Now()
	return gr.update(ctx, func(rec *Record) {
		rec.Until = now.Add(gr.lim.GrantFor.Std())
		rec.CheckpointAt = gr.checkpoint(now, rec.CheckpointAt)
	})
}

// update writes a changed Grant row under the condition of the epoch.
func (gr *Grant) update(ctx context.Context, change func(*Record)) error {
	le := gr.lease.Load()
	if le == nil {
		return errHeld
	}
	for range 3 {
		next := gr.rec
		change(&next)
		next.OpID = citronstream.NewID()
		err := gr.commit(ctx, write{next.OpID, []citronstream.Op{gr.check(le), put(GrantKey(gr.set.Upstream), gr.recVer, next)}, 0})
		var ce *citronstream.ConflictError
		if errors.As(err, &ce) && gr.epochMoved(ctx, le) {
			gr.Fenced(le.Epoch)
			return err
		}
		var rec Record
		version, rerr := gr.read(ctx, GrantKey(gr.set.Upstream), &rec)
		if rerr != nil {
			return rerr
		}
		if rec.Epoch != le.Epoch {
			gr.Fenced(le.Epoch)
			return citronstream.ErrConflict
		}
		gr.rec, gr.recVer = rec, version
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

func (gr *Grant) epochMoved(ctx context.Context, le *Lease) bool {
	var ep EpochRow
	version, err := gr.read(ctx, EpochKey(gr.set.Upstream), &ep)
	return err == nil && version != le.Version
}

// Token returns the highest fencing token in the Grant row, and false until
// the grant has read it.
func (gr *Grant) Token() (uint64, bool) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.rec.Token, gr.lease.Load() != nil
}

// RaiseToken writes a higher fencing token to the Grant row. It returns an
// error unless the row is known to hold it.
func (gr *Grant) RaiseToken(ctx context.Context, token uint64) error {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.update(ctx, func(rec *Record) { rec.Token = max(rec.Token, token) })
}
