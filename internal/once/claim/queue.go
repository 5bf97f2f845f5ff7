package claim

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	minProbeInterval = 250 * time.Millisecond // interval of the first probe after a failure
	maxProbeInterval = 10 * time.Second       // the interval doubles up to this value
)

// breaker is a circuit breaker, open while the table is considered down. Calls
// then run on the grant without waiting; only the record loop probes the table.
type breaker struct {
	open  atomic.Bool
	pause atomic.Int64 // nanoseconds to the next probe
}

func (br *breaker) trip() {
	if !br.open.Swap(true) {
		br.pause.Store(int64(minProbeInterval))
	}
}

func (br *breaker) close() { br.open.Store(false) }

// nextPause returns the time to the next probe and doubles it for the one after.
func (br *breaker) nextPause() time.Duration {
	pause := time.Duration(br.pause.Load())
	br.pause.Store(int64(min(2*pause, maxProbeInterval)))
	return pause
}

// queue holds attempts for the next groups.
type queue struct {
	mu    sync.Mutex
	items []*attempt
	wake  chan struct{}
}

func newQueue() queue { return queue{wake: make(chan struct{}, 1)} }

func (qu *queue) push(att ...*attempt) {
	if len(att) == 0 {
		return
	}
	qu.mu.Lock()
	qu.items = append(qu.items, att...)
	qu.mu.Unlock()
	qu.signal()
}

// signal wakes the loop that reads the queue.
func (qu *queue) signal() {
	select {
	case qu.wake <- struct{}{}:
	default:
	}
}

// take removes up to n attempts with distinct keys. The others keep their order.
func (qu *queue) take(n int) (group []*attempt) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	seen := make(map[string]bool, n)
	var skipped []*attempt
	i := 0
	for ; i < len(qu.items) && len(group) < n; i++ {
		if key := mapKey(qu.items[i].rq); seen[key] {
			skipped = append(skipped, qu.items[i])
		} else {
			seen[key] = true
			group = append(group, qu.items[i])
		}
	}
	qu.items = qu.items[i:]
	if len(skipped) > 0 {
		qu.items = append(skipped, qu.items...)
	}
	return group
}
