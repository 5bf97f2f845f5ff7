// Package meter records the usage of calls in a process's cost ledger.
package meter

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/observe/ledger"
)

// Meter records usage on one side, entry or agent.
type Meter struct {
	le   *ledger.Ledger
	side string
}

// New returns a meter for a side of ledger.Key.
func New(le *ledger.Ledger, side string) *Meter { return &Meter{le: le, side: side} }

// Count adds one attempt that ran or may have run. Replayed answers and
// attempts that did not run have no usage and are not counted.
func (mt *Meter) Count(ca *citronstream.Call, re *citronstream.Result) {
	if re.Replayed || (re.Fault != nil && re.Fault.Verdict == citronstream.NotRun) {
		return
	}
	counts := ledger.Counts{
		Calls: 1, Cost: ledger.UnitsOf(re.Usage.Cost), TokensIn: int64(re.Usage.TokensIn), TokensOut: int64(re.Usage.TokensOut),
		Busy: re.Usage.Busy, Queued: re.Queued,
	}
	if re.Fault == nil && re.Queued+re.Usage.Busy <= ca.Left {
		counts.Attained = 1
	}
	mt.le.Add(ledger.Key{
		Side: mt.side, Owner: ca.Owner, Workspace: ca.Workspace, Service: ca.Service, Stage: ca.Stage, Rank: ca.Rank,
	}, counts)
}
