// Package comeback remembers requests that were refused, so that the time of a
// caller who comes back counts from the first attempt, at any entry.
package comeback

import (
	"container/list"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// maxSeen bounds the remembered requests of all entries.
	maxSeen = 16384
	// maxNews bounds what is told to the peers at once.
	maxNews = 1024
	// life is how long a refusal is remembered. Callers have deadlines below it.
	life = 30 * time.Second
)

type entry struct {
	digest uint64
	at     time.Time
}

// Registry has the first attempts of refused requests by their content.
type Registry struct {
	clk citronstream.Clock

	mu    sync.Mutex
	byID  map[uint64]*list.Element
	order *list.List // of entry, the newest first
	news  []citronstream.FirstAttempt
}

// New returns an empty registry.
func New(clk citronstream.Clock) *Registry {
	return &Registry{clk: clk, byID: make(map[uint64]*list.Element), order: list.New()}
}

// Refused notes that a request was refused whose first attempt came at a time.
func (re *Registry) Refused(digest uint64, first time.Time) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.note(digest, first) && len(re.news) < maxNews {
		re.news = append(re.news, citronstream.FirstAttempt{Digest: digest, Age: re.clk.Since(first)})
	}
}

// First returns when the first attempt of a request came, given this one's arrival.
func (re *Registry) First(digest uint64, at time.Time) time.Time {
	re.mu.Lock()
	defer re.mu.Unlock()
	if el := re.byID[digest]; el != nil {
		if en := el.Value.(entry); at.Sub(en.at) < life {
			return en.at
		}
	}
	return at
}

// Forget drops a request that was served.
func (re *Registry) Forget(digest uint64) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if el := re.byID[digest]; el != nil {
		delete(re.byID, digest)
		re.order.Remove(el)
	}
}

// Hear takes what a peer has refused.
func (re *Registry) Hear(attempts []citronstream.FirstAttempt) {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.clk.Now()
	for _, fa := range attempts {
		re.note(fa.Digest, now.Add(-fa.Age))
	}
}

// News returns what was refused since the last call, for the peers.
func (re *Registry) News() []citronstream.FirstAttempt {
	re.mu.Lock()
	defer re.mu.Unlock()
	news := re.news
	re.news = nil
	return news
}

// note reports whether the request was not known.
func (re *Registry) note(digest uint64, first time.Time) bool {
	if el := re.byID[digest]; el != nil {
		if en := el.Value.(entry); first.Sub(en.at) < life {
			return false
		}
		re.order.Remove(el)
	} else if len(re.byID) >= maxSeen {
		oldest := re.order.Back()
		delete(re.byID, oldest.Value.(entry).digest)
		re.order.Remove(oldest)
	}
	re.byID[digest] = re.order.PushFront(entry{digest, first})
	return true
}
