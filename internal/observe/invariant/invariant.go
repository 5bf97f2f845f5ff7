// Package invariant counts violated invariants. A violation is a bug in the
// program: it is counted and reported, and the process continues, because
// stopping would break more guarantees.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// maxTexts bounds the texts that are kept. All violations are counted.
const maxTexts = 64

// Log collects violations.
type Log struct {
	count atomic.Uint64
	mu    sync.Mutex
	texts []string
}

// New returns an empty log.
func New() *Log { return &Log{} }

// Default collects the violations of the process.
var Default = New()

// Check counts a violation if ok is false. Only then are the arguments formatted.
func Check(ok bool, format string, args ...any) {
	if !ok {
		Default.add(fmt.Sprintf(format, args...))
	}
}

func (lo *Log) add(text string) {
	lo.count.Add(1)
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if len(lo.texts) < maxTexts {
		lo.texts = append(lo.texts, text)
	}
}

// Count returns the number of violations.
func (lo *Log) Count() uint64 { return lo.count.Load() }

// Texts returns the texts of the first violations.
func (lo *Log) Texts() []string {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return append([]string(nil), lo.texts...)
}
