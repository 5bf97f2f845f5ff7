package table

// MaxRanks is the number of ranks with their own state. Less urgent ranks count
// as the last of these.
const MaxRanks = 4

// minShare is the smallest share of an upstream's throughput that is assumed for
// a rank without a floor.
const minShare = 0.01

// rankIndex is the index of a rank's state. A rank out of range is treated as the
// least urgent, as limit/fairqueue does.
func rankIndex(rank int) int {
	if rank < 0 {
		return MaxRanks - 1
	}
	return min(rank, MaxRanks-1)
}

// Wait estimates the time until the upstream starts a new call of the rank, in
// seconds. It follows limit/fairqueue: waiting calls of less urgent ranks delay
// the call only by their floors, and the rank's own floor bounds the wait to the
// time that it takes for the rank's own work. If nothing waits at the upstream,
// the whole corrected load is ahead of the call.
func (nd *Node) Wait(rank int) float64 {
	re := nd.live.report.Load()
	total := nd.load(re)
	if re == nil {
		return total / nd.assumedRate()
	}
	if !re.queued {
		return total / re.rate
	}
	rank = rankIndex(rank)
	running, urgent, own, open := total, 0.0, 0.0, 1.0
	for other := range re.waiting {
		waits := nd.waitingCost(re, other)
		running -= waits
		switch {
		case other < rank:
			urgent += waits
		case other == rank:
			own = waits
		case waits > 0:
			open -= nd.floors[other]
		}
	}
	running = max(0, running)
	wait := running + (urgent+own)/max(open, nd.floors[rank], minShare)
	if floor := nd.floors[rank]; floor > 0 {
		wait = min(wait, running+own/floor)
	}
	return wait / re.rate
}

// waitingCost is the corrected cost of the calls of a rank that wait, in cost units.
func (nd *Node) waitingCost(re *report, rank int) float64 {
	return max(0, re.waiting[rank]+float64(nd.live.pending[rank].Load())/1000)
}

// Floor says whether a rank uses its guaranteed share of an upstream.
type Floor uint8

// A floor counts only at an upstream where calls wait.
const (
	FloorNone   Floor = iota // the rank has no floor, or nothing waits
	FloorUnused              // others wait, and nothing of the rank
	FloorUsed                // calls of the rank wait
)

// Floor returns whether the rank uses its floor, by the corrected report.
func (nd *Node) Floor(rank int) Floor {
	re := nd.live.report.Load()
	rank = rankIndex(rank)
	switch {
	case re == nil || !re.queued || nd.floors[rank] <= 0:
		return FloorNone
	case nd.waitingCost(re, rank) > 0:
		return FloorUsed
	}
	return FloorUnused
}
