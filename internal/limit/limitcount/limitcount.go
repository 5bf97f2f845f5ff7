// Package limitcount counts how often limits on clients take effect, and logs each of them
// at most once a minute, as clients beyond a limit come in large numbers.
package limitcount

import (
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
)

// logInterval is the least time between two log lines about one limit.
const logInterval = time.Minute

// Counts counts the limits that took effect.
type Counts struct {
	clk     citronstream.Clock
	log     logr.Logger
	message string

	mu     sync.Mutex
	counts map[string]uint64
	logged map[string]time.Time
}

// New returns a Counts whose log lines have a message.
func New(clk citronstream.Clock, log logr.Logger, message string) *Counts {
	return &Counts{clk: clk, log: log, message: message, counts: make(map[string]uint64), logged: make(map[string]time.Time)}
}

// Hit counts a limit that took effect.
func (co *Counts) Hit(limit string) {
	if count, logs := co.add(limit); logs {
		co.log.Info(co.message, "limit", limit, "so far", count)
	}
}

// add counts, and reports whether a log line is due. The line is written without the lock, as
// the log may block.
func (co *Counts) add(limit string) (count uint64, logs bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.counts[limit]++
	now := co.clk.Now()
	if last, ok := co.logged[limit]; ok && now.Sub(last) < logInterval {
		return 0, false
	}
	co.logged[limit] = now
	return co.counts[limit], true
}

// Count returns how often a limit took effect.
func (co *Counts) Count(limit string) uint64 {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.counts[limit]
}
