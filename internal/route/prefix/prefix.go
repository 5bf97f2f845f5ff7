// Package prefix keeps hints on which upstream has which prompt prefix in its
// cache. The hints come from cache events, which arrive late and with gaps.
// Therefore they expire, and policies use them only as one factor beside load.
package prefix

import (
	"container/list"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/policy"
)

const (
	shards = 64
	// maxSources bounds the upstreams with hints. The largest fleet has 1,700.
	maxSources = 4096
)

// Event is a change of an upstream's prefix cache. Seq grows by 1 with each
// event of an Epoch, Epoch grows with each start of the upstream.
type Event struct {
	Upstream string   `json:"Upstream"`
	Epoch    uint64   `json:"Epoch,omitempty"`
	Seq      uint64   `json:"Seq"`
	Stored   []uint64 `json:"Stored,omitempty"`
	Evicted  []uint64 `json:"Evicted,omitempty"`
	Cleared  bool     `json:"Cleared,omitempty"`
}

// Hints implements policy.Hints.
type Hints struct {
	clk     citronstream.Clock
	ttl     time.Duration
	limit   int
	shards  [shards]shard
	mu      sync.Mutex // guards sources and their sequence numbers
	sources map[string]*source
}

// Option configures Hints.
type Option func(*Hints)

// WithTTL sets how long a hint lasts. The default is 2 minutes.
func WithTTL(ttl time.Duration) Option { return func(hi *Hints) { hi.ttl = ttl } }

// WithCap sets the largest number of blocks. Each of 64 shards keeps at least
// one. The default is 65,536.
func WithCap(limit int) Option { return func(hi *Hints) { hi.limit = limit } }

// New returns empty hints.
func New(clk citronstream.Clock, opts ...Option) *Hints {
	hi := &Hints{clk: clk, ttl: 2 * time.Minute, limit: 65536, sources: make(map[string]*source)}
	for _, opt := range opts {
		opt(hi)
	}
	for i := range hi.shards {
		hi.shards[i].byID, hi.shards[i].order = make(map[uint64]*list.Element), list.New()
	}
	return hi
}

// Len returns the number of blocks kept.
func (hi *Hints) Len() int {
	sum := 0
	for i := range hi.shards {
		sum += hi.shards[i].len()
	}
	return sum
}

func (hi *Hints) shard(hash uint64) *shard { return &hi.shards[hash%shards] }

// Holders implements policy.Hints. Longer prefixes come first.
func (hi *Hints) Holders(blocks []uint64) (out [policy.MaxHolders]policy.Holder, count int) {
	now := hi.clk.Now().UnixNano()
	for i := min(len(blocks), MaxBlocks) - 1; i >= 0 && count < len(out); i-- {
		count = hi.shard(blocks[i]).read(blocks[i], i+1, now, &out, count)
	}
	return out, count
}

// Apply applies a cache event. It returns false for an event that is not newer
// than the last one, and for a new upstream if there are too many. A gap
// invalidates all hints of the upstream, because an eviction may be missing.
func (hi *Hints) Apply(ev Event) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	src := hi.source(ev.Upstream)
	if src == nil || src.known && (ev.Epoch < src.epoch || ev.Epoch == src.epoch && ev.Seq <= src.seq) {
		return false
	}
	if ev.Cleared || src.known && (ev.Epoch != src.epoch || ev.Seq != src.seq+1) {
		src.gen.Add(1)
	}
	src.known, src.epoch, src.seq = true, ev.Epoch, ev.Seq
	hi.store(src, ev.Stored)
	now := hi.clk.Now().UnixNano()
	for _, hash := range ev.Evicted {
		hi.shard(hash).drop(hash, src, now)
	}
	return true
}

// Note records that an upstream has just run a prompt with these blocks, for
// the time until the upstream's event arrives.
func (hi *Hints) Note(upstream string, blocks []uint64) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if src := hi.source(upstream); src != nil {
		hi.store(src, blocks[:min(len(blocks), MaxBlocks)])
	}
}

// Drop invalidates all hints of an upstream that died and removes its sequence number.
func (hi *Hints) Drop(upstream string) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if src := hi.sources[upstream]; src != nil {
		src.gen.Add(1)
		delete(hi.sources, upstream)
	}
}

func (hi *Hints) store(src *source, blocks []uint64) {
	now := hi.clk.Now()
	for _, hash := range blocks {
		hi.shard(hash).add(hash, src, now.UnixNano(), now.Add(hi.ttl).UnixNano(), max(1, hi.limit/shards))
	}
}

func (hi *Hints) source(name string) *source {
	src := hi.sources[name]
	if src == nil && len(hi.sources) < maxSources {
		src = &source{name: name}
		hi.sources[name] = src
	}
	return src
}
