package entry

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/holdsync"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// mergePoisonReport merges an agent's report and forwards it to the other agents.
func (en *Entry) mergePoisonReport(from *link.Link, re *link.Request) {
	var report poison.Report
	if re.Decode(&report) != nil {
		return
	}
	if held := en.Holds.Merge(report); len(held) > 0 {
		en.HoldSync.Changed()
	}
	en.Agents.Links(func(_ string, li *link.Link) {
		if li != from {
			_ = li.Notify(citronstream.MethodPoison, report)
		}
	})
	re.Reply(struct{}{}) // sent last, so that the agents know of the holds before a later call
}

// broadcastReports forwards holds and lifts from the table to the agents.
func (en *Entry) broadcastReports(reports []poison.Report) {
	en.Agents.Links(func(_ string, li *link.Link) { sendPoisonReports(li, reports) })
}

// Lift ends a hold at this entry and, through the table's row, at the other
// entries, which notify their agents. It reports whether this entry held the content.
func (en *Entry) Lift(digest uint64) bool {
	held := en.Holds.Lift(digest)
	en.HoldSync.Changed()
	return held
}

// sendHolds sends all holds to an agent with a new link, which may know none.
func (en *Entry) sendHolds(_ string, li *link.Link) {
	sendPoisonReports(li, holdsync.Reports(holdsync.Holds(en.Holds), en.clk.Now()))
}

func sendPoisonReports(li *link.Link, reports []poison.Report) {
	for _, report := range reports {
		_ = li.Notify(citronstream.MethodPoison, report)
	}
}
