package engine

import (
	"container/list"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// maxEvents bounds the recorded cache events; the oldest are dropped.
const maxEvents = 4096

// Kinds of a CacheEvent.
const (
	Stored  = "stored"
	Removed = "removed"
)

// CacheEvent reports a block that entered or left the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"` // counts from 1; a gap in it means lost events
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`
	at    time.Time
}

// cache is the prefix cache: blocks in the order of their last use.
type cache struct {
	clk      citronstream.Clock
	max      int
	gapEvery uint64 // each n-th event is dropped; 0 drops none

	mu     sync.Mutex
	order  *list.List // of uint64, least recently used first
	blocks map[uint64]*list.Element
	seq    uint64
	events []CacheEvent
}

func newCache(clk citronstream.Clock, max int) *cache {
	return &cache{clk: clk, max: max, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns how many leading blocks are cached and marks them as used.
func (ca *cache) match(blocks []uint64) int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for i, block := range blocks {
		el, ok := ca.blocks[block]
		if !ok {
			return i
		}
		ca.order.MoveToBack(el)
	}
	return len(blocks)
}

// add stores blocks and evicts the least recently used ones above the limit.
func (ca *cache) add(blocks []uint64) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for _, block := range blocks {
		if el, ok := ca.blocks[block]; ok {
			ca.order.MoveToBack(el)
			continue
		}
		ca.blocks[block] = ca.order.PushBack(block)
		ca.recordEvent(Stored, block)
		if ca.order.Len() > ca.max {
			old := ca.order.Remove(ca.order.Front()).(uint64)
			delete(ca.blocks, old)
			ca.recordEvent(Removed, old)
		}
	}
}

func (ca *cache) recordEvent(kind string, block uint64) {
	ca.seq++
	if ca.gapEvery > 0 && ca.seq%ca.gapEvery == 0 {
		return
	}
	if len(ca.events) >= maxEvents {
		ca.events = ca.events[1:]
	}
	ca.events = append(ca.events, CacheEvent{Seq: ca.seq, Kind: kind, Block: block, at: ca.clk.Now()})
}

// since returns the events after seq that are older than the lag.
func (ca *cache) since(seq uint64, lag time.Duration) []CacheEvent {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	found := []CacheEvent{}
	horizon := ca.clk.Now().Add(-lag)
	for _, ev := range ca.events {
		if ev.Seq > seq && !ev.at.After(horizon) {
			found = append(found, ev)
		}
	}
	return found
}

// CacheUse returns the prompt tokens of all sequences so far, and how many of
// them the prefix cache held.
func (se *Server) CacheUse() (prompt, cached uint64) {
	return se.promptTokens.Load(), se.cachedTokens.Load()
}

// usedRatio returns the share of the memory in use, 0 to 1.
func (ca *cache) usedRatio() float64 {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return float64(ca.order.Len()) / float64(max(1, ca.max))
}

// clear empties the cache without events, as a restart does.
func (ca *cache) clear() {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.order.Init()
	clear(ca.blocks)
	ca.events, ca.seq = nil, 0
}
