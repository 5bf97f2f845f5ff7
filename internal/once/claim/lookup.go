package claim

import (
	"context"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// Recall returns the answer of a key that has run and is still in memory.
func (cl *Claim) Recall(rq Request) (Answer, error, bool) { //nolint:revive // the error belongs to the answer
	sh := &cl.shards[grant.SlotOf(rq.Workspace, rq.Key)]
	sh.mu.Lock()
	en := sh.keys[mapKey(rq)]
	sh.mu.Unlock()
	if en == nil || en.digest != rq.Digest || cl.held(rq) == nil {
		return Answer{}, nil, false
	}
	select {
	case <-en.ended:
	default:
		return Answer{}, nil, false
	}
	ans, err, ok := cl.replay(sh, en)
	if ok {
		cl.replays.Add(1)
	}
	return ans, err, ok
}

// Verdict says whether a key that this attempt did not run may have run
// before. It is NotRun only with a proof: the slot is owned, the key is
// neither in memory nor in the table, and no earlier owner can have run it
// without a row. It reads the table, bounded by claimWait.
func (cl *Claim) Verdict(ctx context.Context, rq Request) citronstream.Verdict {
	if !rq.KeyGiven {
		return citronstream.NotRun
	}
	held := cl.held(rq)
	if held == nil {
		return citronstream.MayHaveRun
	}
	sh := &cl.shards[grant.SlotOf(rq.Workspace, rq.Key)]
	sh.mu.Lock()
	en := sh.keys[mapKey(rq)]
	sh.mu.Unlock()
	probe := &entry{rq: rq, slot: grant.SlotOf(rq.Workspace, rq.Key)}
	switch {
	case en != nil:
		return citronstream.MayHaveRun
	case cl.known(probe, held):
		return citronstream.NotRun
	case cl.inInterval(probe, held):
		return citronstream.MayHaveRun
	}
	ctx, cancel := grant.WithTimeout(ctx, cl.clk, claimWait)
	defer cancel()
	_, version, err := cl.readRow(ctx, probe)
	if err != nil || version != 0 {
		return citronstream.MayHaveRun
	}
	return citronstream.NotRun
}
