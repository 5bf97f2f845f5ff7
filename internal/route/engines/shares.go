package engines

import "time"

const (
	// homeChoices is the number of engines from which the least loaded one is chosen
	// for the first request with a shared part. With one, which the hash alone decides,
	// parts that come at the same time pile up at an engine; docs/design/even-load.md
	// has the figures of one to eight.
	homeChoices = 3
	// Requests with an equal part are distributed among spreadFactor times as many
	// engines as the part's share of the prompts needs, rounded up to a power of two so
	// that entries mostly agree, and among leastSpread: each of them has to read the
	// part. Until the shares are known, homeDivisor divides the number of engines to
	// give that number.
	spreadFactor = 2.0
	leastSpread  = 2
	homeDivisor  = 3
	// The tokens of prompts by part are halved after shareWindow, and tell a share from
	// minShareTokens on; at most maxShares parts are counted.
	shareWindow    = 10 * time.Second
	minShareTokens = 50000
	maxShares      = 4096
)

// countShares counts the prompt of a request that has parts of several sessions.
func (pi *Picker) countShares(rq *Request) {
	if pi.clk.Since(pi.sharesFrom) >= shareWindow {
		pi.sharesFrom = pi.clk.Now()
		pi.shareTokens /= 2
		for id := range pi.shares {
			if pi.shares[id] /= 2; pi.shares[id] < 1 {
				delete(pi.shares, id)
			}
		}
	}
	pi.shareTokens += float64(rq.Tokens)
	for i := range len(rq.Shared) - 1 {
		if id := rq.Shared[i].ID; len(pi.shares) < maxShares || pi.shares[id] > 0 {
			pi.shares[id] += float64(rq.Tokens)
		}
	}
}

// spread returns among how many of some engines the requests with a part are
// distributed.
func (pi *Picker) spread(part uint64, engines int) int {
	if pi.shareTokens < minShareTokens {
		return (engines + homeDivisor - 1) / homeDivisor
	}
	count := leastSpread
	for float64(count) < spreadFactor*float64(engines)*pi.shares[part]/pi.shareTokens {
		count *= 2
	}
	return min(count, engines)
}
