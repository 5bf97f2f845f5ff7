package claim

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	probeFirst = 250 * time.Millisecond // first probe of a table that failed
	probeMost  = 10 * time.Second       // probes double up to this interval
)

// breaker is open while the table is taken to be down. Calls then run on the
// grant at once; only the record loop probes, so that no call pays for it.
type breaker struct {
	open  atomic.Bool
	pause atomic.Int64 // nanoseconds to the next probe
}

func (br *breaker) trip() {
	if !br.open.Swap(true) {
		br.pause.Store(int64(probeFirst))
	}
}

func (br *breaker) reset() { br.open.Store(false) }

// next returns the time to the next probe and doubles it.
func (br *breaker) next() time.Duration {
	pause := time.Duration(br.pause.Load())
	br.pause.Store(int64(min(2*pause, probeMost)))
	return pause
}

// queue collects entries for the next group.
type queue struct {
	mu    sync.Mutex
	items []*entry
	wake  chan struct{}
}

func newQueue() queue { return queue{wake: make(chan struct{}, 1)} }

func (qu *queue) push(en ...*entry) {
	if len(en) == 0 {
		return
	}
	qu.mu.Lock()
	qu.items = append(qu.items, en...)
	qu.mu.Unlock()
	qu.poke()
}

// poke wakes the loop that serves the queue.
func (qu *queue) poke() {
	select {
	case qu.wake <- struct{}{}:
	default:
	}
}

// take removes up to n entries with distinct keys; the others stay in order.
func (qu *queue) take(n int) (group []*entry) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	seen := make(map[string]bool, n)
	var skipped []*entry
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
