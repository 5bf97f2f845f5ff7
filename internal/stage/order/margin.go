package order

import "time"

// lastShare is the largest part of a job's slack that the margin takes from its latest start.
// A target near the unloaded time leaves less slack than the margin; with the whole margin such
// jobs were late when they came, and ran behind all less urgent ones. With smaller shares fewer
// requests were in time in replays, with greater ones fewer of the most urgent kind.
const lastShare = 0.9

// LastMargin returns the part of a margin for delays that may not occur by which the latest start
// of a job (Priority.Last) is earlier. Slack is the time until its start without a margin. The
// whole margin counts for the start that is aimed at (Priority.Start).
func LastMargin(slack, margin time.Duration) time.Duration {
	return min(margin, time.Duration(lastShare*float64(max(0, slack))))
}
