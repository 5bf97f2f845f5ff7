package claim

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// maxCommitRounds limits the transactions of one group: after a conflict, the
// rows whose claim failed are removed and the others are sent again.
const maxCommitRounds = 4

// commitLoop claims keys in groups. Claims that arrive during a transaction go
// into the next one.
func (cl *Claim) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return // callers that wait see cl.stopped
		case <-cl.claims.wake:
		}
		for group := cl.claims.take(maxGroupRows); len(group) > 0 && ctx.Err() == nil; group = cl.claims.take(maxGroupRows) {
			cl.commitGroup(ctx, group)
		}
	}
}

func replyAll(group []*attempt, out outcome) {
	for _, att := range group {
		att.reply <- out
	}
}

// commitGroup claims the rows of a group and replies to each of its attempts.
func (cl *Claim) commitGroup(ctx context.Context, group []*attempt) {
	ctx, cancel := grant.WithTimeout(ctx, cl.clk, claimTimeout)
	defer cancel()
	mayApply := false
	for range maxCommitRounds {
		if cl.breaker.open.Load() && !mayApply {
			replyAll(group, outcome{result: unavailable})
			return
		}
		le := cl.grant.Lease()
		if le == nil {
			replyAll(group, outcome{result: fenced, mayApply: mayApply})
			return
		}
		if group = refuseOtherEpochs(group, le.Epoch, mayApply); len(group) == 0 {
			return
		}
		unknown, err := cl.send(ctx, cl.claimOps(le, group))
		mayApply = mayApply || unknown
		if err == nil {
			for _, att := range group {
				att.version++
			}
			replyAll(group, outcome{result: claimed})
			return
		}
		var ce *citronstream.ConflictError
		if !errors.As(err, &ce) {
			break
		}
		if group = cl.resolveConflicts(ctx, group, ce, le, mayApply); len(group) == 0 {
			return
		}
	}
	cl.trip()
	replyAll(group, outcome{result: unavailable, mayApply: mayApply})
}

// refuseOtherEpochs refuses attempts that began under another epoch, as their
// slots may have another owner by now. It returns the remaining attempts.
func refuseOtherEpochs(group []*attempt, epoch uint64, mayApply bool) (current []*attempt) {
	for _, att := range group {
		if att.epoch == epoch {
			current = append(current, att)
			continue
		}
		att.reply <- outcome{result: fenced, mayApply: mayApply}
	}
	return current
}

// claimOps returns the operations that claim the rows of a group on the
// condition that the epoch is in force.
func (cl *Claim) claimOps(le *grant.Lease, group []*attempt) []citronstream.Op {
	set := cl.grant.Settings()
	ops := []citronstream.Op{{Key: grant.EpochKey(set.Upstream), IfVersion: le.Version, CheckOnly: true}}
	for _, att := range group {
		ops = append(ops, cl.op(att, Row{State: Claimed}))
	}
	return ops
}

func (cl *Claim) op(att *attempt, row Row) citronstream.Op {
	row.Upstream, row.Epoch, row.OpID = cl.grant.Settings().Upstream, att.epoch, att.opID
	row.Digest, row.At = att.digest, att.at
	data, err := json.Marshal(row)
	if err != nil {
		panic(err) // the row type always marshals
	}
	return citronstream.Op{Key: cl.rowKey(att), Value: data, IfVersion: att.version, Expires: att.at.Add(cl.retention)}
}

// send writes a transaction and retries it under the same identifier while its
// answer is lost. If unknown is true, an answer was lost and the transaction may
// take effect even if err is not nil.
func (cl *Claim) send(ctx context.Context, ops []citronstream.Op) (unknown bool, err error) {
	id := citronstream.NewID()
	for range 3 {
		cl.transactions.Add(1)
		err = cl.table.Write(ctx, id, ops...)
		switch {
		case err == nil, errors.Is(err, citronstream.ErrConflict),
			errors.Is(err, citronstream.ErrUnavailable), errors.Is(err, citronstream.ErrThrottled):
			return unknown, err
		}
		unknown = true
		if ctx.Err() != nil {
			break
		}
	}
	return unknown, err
}

// resolveConflicts reads the rows whose condition failed and replies to their
// attempts. It returns the attempts that have to be sent again.
func (cl *Claim) resolveConflicts(ctx context.Context, group []*attempt, ce *citronstream.ConflictError, le *grant.Lease, mayApply bool) (retry []*attempt) {
	failed := make(map[string]bool, len(ce.Keys))
	for _, key := range ce.Keys {
		failed[key] = true
	}
	epochChanged := failed[grant.EpochKey(cl.grant.Settings().Upstream)]
	if epochChanged {
		cl.grant.Fenced(le.Epoch)
	}
	for _, att := range group {
		if len(failed) > 0 && !failed[cl.rowKey(att)] && !epochChanged {
			retry = append(retry, att)
			continue
		}
		row, version, err := cl.readRow(ctx, att)
		switch {
		case err != nil:
			att.reply <- outcome{result: unavailable, mayApply: true}
		case version != 0 && row.OpID == att.opID && row.State == Claimed:
			att.version = version
			att.reply <- outcome{result: claimed}
		case epochChanged:
			att.reply <- outcome{result: fenced, mayApply: mayApply}
		case version == 0 || row.State == Released:
			att.version = version
			retry = append(retry, att)
		default:
			att.reply <- outcome{result: exists, row: row}
		}
	}
	return retry
}

// trip opens the breaker and wakes the record loop, which then probes the table.
func (cl *Claim) trip() {
	cl.breaker.trip()
	cl.records.signal()
}
