// Package invariant counts conditions that must always hold and did not. A
// violation is a fault of the program: it is counted and reported, and the
// process goes on, since stopping would break more promises.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// maxKept bounds the texts that are kept; the count is complete.
const maxKept = 64

// Log collects violations.
type Log struct {
	count atomic.Uint64
	mu    sync.Mutex
	texts []string
}

// New returns an empty log.
func New() *Log { return &Log{} }

// Default is the log of the process.
var Default = New()

// Check counts a violation unless ok holds. The arguments are formatted only then.
func Check(ok bool, format string, args ...any) {
	if !ok {
		Default.add(fmt.Sprintf(format, args...))
	}
}

func (lo *Log) add(text string) {
	lo.count.Add(1)
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if len(lo.texts) < maxKept {
		lo.texts = append(lo.texts, text)
	}
}

// Count returns the number of violations.
func (lo *Log) Count() uint64 { return lo.count.Load() }

// Texts returns the first violations.
func (lo *Log) Texts() []string {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return append([]string(nil), lo.texts...)
}
