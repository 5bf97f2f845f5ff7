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
	// earlySlack is how much before the time that it was told a caller may come back
	// and still counts as one that did as told: messages of peers are late.
	earlySlack = 100 * time.Millisecond
	// retention is how long a refusal is kept. Deadlines of callers are shorter.
	retention = 30 * time.Second
)

type refusal struct {
	digest uint64
	first  time.Time
	back   time.Time // when the caller may come back
}

// Registry maps the content digest of a refused request to the time of its first attempt.
type Registry struct {
	clk citronstream.Clock

	mu       sync.Mutex
	byDigest map[uint64]*list.Element
	order    *list.List // of refusal, newest first
	unsent   []refusal
}

// New returns an empty registry.
func New(clk citronstream.Clock) *Registry {
	return &Registry{clk: clk, byDigest: make(map[uint64]*list.Element), order: list.New()}
}

// RecordRefusal records a refused request, the time of its first attempt and when
// its caller may come back.
func (re *Registry) RecordRefusal(digest uint64, first, back time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	en := refusal{digest, first, back}
	if re.record(en) && len(re.unsent) < maxUnsent {
		re.unsent = append(re.unsent, en)
	}
}

// First returns the arrival time of the first attempt of a request, which is at
// if no earlier attempt is recorded, and whether its caller was refused and has come
// back no earlier than it was told.
func (re *Registry) First(digest uint64, at time.Time) (first time.Time, asTold bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if el := re.byDigest[digest]; el != nil {
		if en := el.Value.(refusal); at.Sub(en.first) < retention {
			return en.first, !at.Before(en.back.Add(-earlySlack))
		}
	}
	return at, false
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
		re.record(refusal{fa.Digest, now.Add(-fa.Age), now.Add(fa.Back)})
	}
}

// TakeUnsent returns the requests refused here since the last call, to send to the peers.
func (re *Registry) TakeUnsent() []citronstream.FirstAttempt {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.clk.Now()
	var news []citronstream.FirstAttempt
	for _, en := range re.unsent {
		news = append(news, citronstream.FirstAttempt{Digest: en.digest, Age: now.Sub(en.first), Back: en.back.Sub(now)})
	}
	re.unsent = nil
	return news
}

// record stores a refusal and reports whether its request was not known. Of a known
// one only the time to come back changes.
func (re *Registry) record(en refusal) bool {
	if el := re.byDigest[en.digest]; el != nil {
		if old := el.Value.(refusal); en.first.Sub(old.first) < retention {
			el.Value = refusal{en.digest, old.first, en.back}
			return false
		}
		re.order.Remove(el)
	} else if len(re.byDigest) >= maxEntries {
		oldest := re.order.Back()
		delete(re.byDigest, oldest.Value.(refusal).digest)
		re.order.Remove(oldest)
	}
	re.byDigest[en.digest] = re.order.PushFront(en)
	return true
}
