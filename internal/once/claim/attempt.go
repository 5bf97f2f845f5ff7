package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// Results of a claim.
const (
	claimed     = iota // the row holds this claim
	exists             // the row holds another claim or an answer
	fenced             // the epoch is no longer in force
	unavailable        // the table did not answer
)

type outcome struct {
	result int
	row    Row
	// mayApply is true if a transaction of unknown outcome may still take effect.
	mayApply bool
}

type runFunc = func(context.Context) (Answer, error)

// runAttempt claims the key and runs the call.
func (cl *Claim) runAttempt(ctx context.Context, att *attempt, run runFunc) (Answer, error) {
	owned, le := cl.ownedSlot(att.rq), cl.grant.Lease()
	if owned == nil || le == nil {
		cl.discard(att)
		return Answer{}, cl.notOwner(att.rq)
	}
	att.epoch = le.Epoch
	if cl.inDoubtInterval(att, owned) {
		return cl.answerInDoubt(ctx, att)
	}
	if max(cl.pending.Load(), cl.unflushed.Load()) >= cl.maxKeys || cl.bytes.Load()+att.size() > cl.maxBytes {
		cl.discard(att)
		return Answer{}, cl.capError(att, owned)
	}
	out := cl.claimRow(att)
	switch out.result {
	case claimed:
		cl.counters.claims.Add(1)
		if ctx.Err() != nil {
			cl.endAttempt(att, notRun, Answer{}, true)
			return Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "call ended before it ran")
		}
		return cl.runCall(ctx, att, run, true)
	case exists:
		return cl.answerFromRow(ctx, att, out.row)
	case fenced:
		cl.fenced.Add(1)
		cl.discard(att)
		return Answer{}, cl.notOwner(att.rq)
	default:
		return cl.runOnGrant(ctx, att, run, out.mayApply)
	}
}

// claimRow queues the claim of the key and waits for its outcome.
func (cl *Claim) claimRow(att *attempt) outcome {
	if cl.breaker.open.Load() {
		return outcome{result: unavailable}
	}
	att.reply = make(chan outcome, 1)
	cl.claims.push(att)
	select {
	case out := <-att.reply:
		att.reply = nil // a claim gets one reply
		return out
	case <-cl.stopped:
		return outcome{result: fenced, mayApply: true}
	}
}

// inDoubtInterval reports whether the key may have run in an interval of
// uncertainty of its slot.
func (cl *Claim) inDoubtInterval(att *attempt, owned *grant.OwnedSlot) bool {
	return !owned.DoubtTo.IsZero() && cl.clk.Now().Sub(owned.DoubtTo) <= cl.retention &&
		!generatedAfter(att.rq.Key, owned.DoubtTo.Add(grant.ClockSkew))
}

// provedNew reports whether a key that is not in memory is proved not to have
// run. Keys that ran before this process acquired the slot, in an interval of
// uncertainty, or that were evicted are not in memory, so the key must have been
// generated after all of these, or these must be older than the retention.
func (cl *Claim) provedNew(att *attempt, owned *grant.OwnedSlot) bool {
	horizon := owned.Since
	if owned.DoubtTo.After(horizon) {
		horizon = owned.DoubtTo
	}
	if ms := cl.shards[att.slot].evicted.Load(); ms > 0 && time.UnixMilli(ms).After(horizon) {
		horizon = time.UnixMilli(ms)
	}
	return horizon.IsZero() || cl.clk.Now().Sub(horizon) > cl.retention || generatedAfter(att.rq.Key, horizon.Add(grant.ClockSkew))
}

// refusal returns the error for a key that this attempt did not run. The verdict
// is NotRun only if no earlier attempt can have run.
func (cl *Claim) refusal(att *attempt, owned *grant.OwnedSlot, code citronstream.Code, text string) error {
	if owned == nil {
		return cl.notOwner(att.rq)
	}
	if !cl.provedNew(att, owned) {
		return cl.inDoubtError(att.rq, text)
	}
	return citronstream.NewFault(citronstream.NotRun, code, "%s", text)
}

func (cl *Claim) capError(att *attempt, owned *grant.OwnedSlot) error {
	cl.refused.Add(1)
	return cl.refusal(att, owned, citronstream.CodeLimit, "too many keys wait to be recorded")
}

// runOnGrant runs a call without a row. The key is counted as unflushed before
// the lease is read, so that no checkpoint is later than its run.
func (cl *Claim) runOnGrant(ctx context.Context, att *attempt, run runFunc, mayApply bool) (Answer, error) {
	err := cl.reserve(att)
	if err == nil {
		err = cl.checkGrant(ctx, att)
	}
	if err != nil {
		cl.endNotRun(att, mayApply)
		return Answer{}, err
	}
	cl.offline.Add(1)
	return cl.runCall(ctx, att, run, mayApply)
}

// endNotRun ends an attempt that did not run. If its claim may still take or has
// taken effect, it is released in the table.
func (cl *Claim) endNotRun(att *attempt, mayApply bool) {
	if !mayApply {
		cl.discard(att)
		return
	}
	cl.endAttempt(att, notRun, Answer{}, true)
}

// reserve counts the key as unflushed, within the limits.
func (cl *Claim) reserve(att *attempt) error {
	cl.countBytes(att)
	if cl.unflushed.Add(1) > cl.maxKeys || cl.bytes.Load() > cl.maxBytes {
		cl.unflushed.Add(-1)
		cl.uncountBytes(att)
		return cl.capError(att, cl.ownedSlot(att.rq))
	}
	att.unflushed = true
	return nil
}

// checkGrant reports why the call may not run on the grant, or nil.
func (cl *Claim) checkGrant(ctx context.Context, att *attempt) error {
	owned, le := cl.ownedSlot(att.rq), cl.grant.Lease()
	switch {
	case owned == nil || le == nil || le.Epoch != att.epoch:
		return cl.notOwner(att.rq)
	case !cl.provedNew(att, owned):
		return cl.inDoubtError(att.rq, "the table does not answer")
	case ctx.Err() != nil:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "call ended before it ran")
	case cl.clk.Now().Sub(att.rq.Sent) > grant.MaxCallAge:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline, "the table does not answer and the call is too old for the grant")
	case !cl.clk.Now().Before(le.Until.Add(-grant.ExpiryMargin)):
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "the table does not answer and the grant is about to expire")
	}
	return nil
}

// runCall runs the call and ends the attempt according to its verdict. If
// mayHaveRow is true, the table has or may still get a row of this attempt.
func (cl *Claim) runCall(ctx context.Context, att *attempt, run runFunc, mayHaveRow bool) (Answer, error) {
	ans, err := run(ctx)
	ans.Replayed = false
	switch citronstream.VerdictOf(err) {
	case citronstream.NotRun:
		cl.endNotRun(att, mayHaveRow)
		return Answer{}, err
	case citronstream.MayHaveRun:
		return cl.endAttempt(att, mayHaveRun, Answer{}, att.unflushed), err
	default:
		if err != nil {
			ans.Fault = citronstream.FaultOf(err)
		}
		return cl.endAttempt(att, finished, ans, true), err
	}
}

// answerFromRow returns the answer recorded in the row of another attempt.
func (cl *Claim) answerFromRow(ctx context.Context, att *attempt, row Row) (Answer, error) {
	if row.Digest != att.digest {
		cl.discard(att)
		return Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeKeyReuse, "key %q was already used with different content", att.rq.Key)
	}
	if row.State != Done {
		cl.discard(att)
		return Answer{}, cl.inDoubtError(att.rq, "it was claimed by "+row.Upstream)
	}
	ans, err := cl.loadAnswer(ctx, row)
	if err != nil {
		cl.discard(att)
		return Answer{}, citronstream.NewFault(citronstream.Ran, citronstream.CodeUnavailable, "the recorded answer can't be read: %s", err)
	}
	cl.replays.Add(1)
	att.at = row.At
	cl.endAttempt(att, finished, ans, false)
	ans.Replayed = true
	return ans, faultOf(ans)
}

func (cl *Claim) loadAnswer(ctx context.Context, row Row) (Answer, error) {
	if row.Object == "" {
		return *row.Answer, nil
	}
	data, err := cl.objects.Get(ctx, row.Object)
	if err != nil {
		return Answer{}, err
	}
	var ans Answer
	return ans, json.Unmarshal(data, &ans)
}

// answerInDoubt answers a key of an interval of uncertainty. The key is refused
// unless its answer is recorded.
func (cl *Claim) answerInDoubt(ctx context.Context, att *attempt) (Answer, error) {
	readCtx, cancel := grant.WithTimeout(ctx, cl.clk, claimTimeout)
	row, _, err := cl.readRow(readCtx, att)
	cancel()
	if err == nil && row.State == Done {
		return cl.answerFromRow(ctx, att, row)
	}
	cl.discard(att)
	return Answer{}, cl.inDoubtError(att.rq, "an earlier owner of the slot ended and may have left keys unrecorded")
}

// readRow returns the row of a key and its version, which is 0 if there is none.
func (cl *Claim) readRow(ctx context.Context, att *attempt) (Row, uint64, error) {
	raw, err := cl.table.Get(ctx, cl.rowKey(att))
	if errors.Is(err, citronstream.ErrNotFound) {
		return Row{}, 0, nil
	}
	if err != nil {
		return Row{}, 0, err
	}
	var row Row
	return row, raw.Version, json.Unmarshal(raw.Value, &row)
}

func (cl *Claim) rowKey(att *attempt) string {
	return RowKey(cl.grant.Settings().Service, att.rq.Workspace, att.rq.Key)
}
