// Package firstattempt records refused requests, so that the waiting time of a
// caller that retries counts from its first attempt, at any entry.
package firstattempt

import (
	"container/list"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// maxEntries bounds the recorded requests, own and reported by peers.
	maxEntries = 16384
	// maxUnsent bounds the requests in one message to the peers.
	maxUnsent = 1024
	// retention is how long a refusal is kept. Deadlines of callers are shorter.
	retention = 30 * time.Second
)

type refusal struct {
	digest uint64
	first  time.Time
}

// Registry maps the content digest of a refused request to the time of its first attempt.
type Registry struct {
	clk citronstream.Clock

	mu       sync.Mutex
	byDigest map[uint64]*list.Element
	order    *list.List // of refusal, newest first
	unsent   []citronstream.FirstAttempt
}

// New returns an empty registry.
func New(clk citronstream.Clock) *Registry {
	return &Registry{clk: clk, byDigest: make(map[uint64]*list.Element), order: list.New()}
}

// RecordRefusal records a refused request and the time of its first attempt.
func (re *Registry) RecordRefusal(digest uint64, first time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.record(digest, first) && len(re.unsent) < maxUnsent {
		re.unsent = append(re.unsent, citronstream.FirstAttempt{Digest: digest, Age: re.clk.Since(first)})
	}
}

// First returns the arrival time of the first attempt of a request, which is at
// if no earlier attempt is recorded.
func (re *Registry) First(digest uint64, at time.Time) time.Time {
	re.mu.Lock()
	defer re.mu.Unlock()
	if el := re.byDigest[digest]; el != nil {
		if en := el.Value.(refusal); at.Sub(en.first) < retention {
			return en.first
		}
	}
	return at
}

// Forget drops a request that was served.
func (re *Registry) Forget(digest uint64) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if el := re.byDigest[digest]; el != nil {
		delete(re.byDigest, digest)
		re.order.Remove(el)
	}
}

// Merge records the requests that a peer refused.
func (re *Registry) Merge(attempts []citronstream.FirstAttempt) {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.clk.Now()
	for _, fa := range attempts {
		re.record(fa.Digest, now.Add(-fa.Age))
	}
}

// TakeUnsent returns the requests refused here since the last call, to send to the peers.
func (re *Registry) TakeUnsent() []citronstream.FirstAttempt {
	re.mu.Lock()
	defer re.mu.Unlock()
	news := re.unsent
	re.unsent = nil
	return news
}

// record stores the first attempt of a request and reports whether it was new.
func (re *Registry) record(digest uint64, first time.Time) bool {
	if el := re.byDigest[digest]; el != nil {
		if en := el.Value.(refusal); first.Sub(en.first) < retention {
			return false
		}
		re.order.Remove(el)
	} else if len(re.byDigest) >= maxEntries {
		oldest := re.order.Back()
		delete(re.byDigest, oldest.Value.(refusal).digest)
		re.order.Remove(oldest)
	}
	re.byDigest[digest] = re.order.PushFront(refusal{digest, first})
	return true
}
