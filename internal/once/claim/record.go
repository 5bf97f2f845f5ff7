package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// recordTimeout applies to each write of records. It is longer than
// claimTimeout, so that keys are still recorded while a slow table makes calls
// run on the grant.
const recordTimeout = 2 * time.Second

// recordLoop records ended attempts in groups. While the breaker is open, it
// probes the table.
func (cl *Claim) recordLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if cl.breaker.open.Load() {
			timer := cl.clk.NewTimer(cl.breaker.nextPause())
			select {
			case <-ctx.Done():
			case <-timer.Chan():
				cl.probe(ctx)
			}
			timer.Stop()
			continue
		}
		group := cl.records.take(maxGroupRows)
		if len(group) > 0 {
			cl.recordGroup(ctx, group)
			continue
		}
		select {
		case <-ctx.Done():
		case <-cl.records.wake:
		}
	}
}

// probe reads the table and writes one group of records. It closes the breaker
// if both succeed within claimTimeout.
func (cl *Claim) probe(ctx context.Context) {
	start := cl.clk.Now()
	probeCtx, cancel := grant.WithTimeout(ctx, cl.clk, recordTimeout)
	defer cancel()
	_, err := cl.table.Get(probeCtx, grant.EpochKey(cl.grant.Settings().Upstream))
	if err != nil && !errors.Is(err, citronstream.ErrNotFound) {
		return
	}
	group := cl.records.take(maxGroupRows)
	if len(group) > 0 && !cl.recordGroup(ctx, group) {
		return
	}
	if cl.clk.Since(start) <= claimTimeout {
		cl.breaker.close()
	}
}

// recordGroup writes the rows of ended attempts. It returns false if the table
// or the object store did not answer.
func (cl *Claim) recordGroup(ctx context.Context, group []*attempt) bool {
	recordCtx, cancel := grant.WithTimeout(ctx, cl.clk, recordTimeout)
	defer cancel()
	var (
		ops  []citronstream.Op
		sent []*attempt
	)
	for _, att := range group {
		op, err := cl.recordOp(recordCtx, att)
		if err != nil {
			cl.records.push(att)
			continue
		}
		ops, sent = append(ops, op), append(sent, att)
	}
	if len(sent) == 0 {
		cl.trip() // the object store does not answer; the next probe retries
		return false
	}
	err := cl.table.Write(recordCtx, citronstream.NewID(), ops...)
	var ce *citronstream.ConflictError
	switch {
	case err == nil:
		cl.finishRecords(sent)
		return true
	case errors.As(err, &ce):
		return cl.reconcile(recordCtx, sent, ce)
	case errors.Is(err, citronstream.ErrUnknownOutcome) && recordCtx.Err() == nil:
		if cl.reconcile(recordCtx, sent, &citronstream.ConflictError{}) && !cl.anyDirty(sent) {
			return true
		}
		cl.trip() // not written: retry after a pause
		return false
	}
	cl.records.push(sent...)
	cl.trip()
	return false
}

func (cl *Claim) finishRecords(sent []*attempt) {
	var flushed []Flushed
	for _, att := range sent {
		if cl.markRecorded(att, att.version+1) && att.state != notRun {
			flushed = append(flushed, Flushed{att.rq.Workspace, att.rq.Key, att.epoch})
		}
	}
	if len(flushed) > 0 {
		cl.flushed(flushed)
	}
}

// recordOp returns the write for an ended attempt. Only the record loop changes
// the attempt's version after the attempt has ended.
func (cl *Claim) recordOp(ctx context.Context, att *attempt) (citronstream.Op, error) {
	row := Row{State: Released}
	switch att.state {
	case mayHaveRun:
		row.State = Claimed
	case finished:
		row.State = Done
		ans := att.answer
		row.Answer = &ans
		if len(ans.Body) > maxInlineBytes {
			data, err := json.Marshal(ans)
			if err != nil {
				return citronstream.Op{}, err
			}
			row.Answer, row.Object = nil, "once/"+att.opID
			if err := cl.objects.Put(ctx, row.Object, data); err != nil {
				return citronstream.Op{}, err
			}
		}
	}
	return cl.op(att, row), nil
}

// reconcile reads the rows whose condition failed. Attempts whose row needs no
// write are marked as recorded, the others are queued again.
func (cl *Claim) reconcile(ctx context.Context, sent []*attempt, ce *citronstream.ConflictError) bool {
	failed := make(map[string]bool, len(ce.Keys))
	for _, key := range ce.Keys {
		failed[key] = true
	}
	var retry, recorded []*attempt
	defer func() {
		cl.records.push(retry...)
		cl.finishRecords(recorded)
	}()
	for i, att := range sent {
		if len(failed) > 0 && !failed[cl.rowKey(att)] {
			retry = append(retry, att)
			continue
		}
		row, version, err := cl.readRow(ctx, att)
		if err != nil {
			retry = append(retry, sent[i:]...)
			cl.trip()
			return false
		}
		if cl.superseded(att, row, version) {
			if row.OpID != att.opID {
				version = 0 // a later attempt must read the row of another attempt before it overwrites it
			}
			cl.setVersion(att, version-1)
			recorded = append(recorded, att)
			continue
		}
		cl.setVersion(att, version)
		retry = append(retry, att)
	}
	return true
}

// superseded reports whether the row needs no write for this attempt. A call
// that ran overwrites claims and releases of other attempts.
func (cl *Claim) superseded(att *attempt, row Row, version uint64) bool {
	if version == 0 {
		return cl.clk.Now().Sub(att.at) > cl.retention
	}
	own := row.OpID == att.opID
	if !own {
		cl.foreign.Add(1)
	}
	switch att.state {
	case finished:
		return row.State == Done
	case mayHaveRun:
		return row.State != Released
	default:
		return !own || row.State == Released
	}
}

func (cl *Claim) setVersion(att *attempt, version uint64) {
	sh := &cl.shards[att.slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	att.version = version
}

func (cl *Claim) anyDirty(sent []*attempt) bool {
	for _, att := range sent {
		sh := &cl.shards[att.slot]
		sh.mu.Lock()
		dirty := att.dirty
		sh.mu.Unlock()
		if dirty {
			return true
		}
	}
	return false
}
