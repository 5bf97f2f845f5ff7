// Package guard rejects engine commands with an outdated fencing token (design,
// section 13). It protects engines that don't check the tokens themselves.
package guard

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/citronstream/citronstream"
)

// Store keeps the highest token in durable storage. grant.Grant implements it.
type Store interface {
	// Token returns the highest token, or false if it has not been read yet.
	Token() (uint64, bool)
	// RaiseToken returns nil only if the store is known to hold at least this token.
	RaiseToken(ctx context.Context, token uint64) error
}

// Counts is a snapshot of the counters.
type Counts struct {
	Sent, Stale, NotReady uint64
	Highest               uint64
}

// Guard forwards commands whose token is not below any earlier one.
type Guard struct {
	store Store
	next  citronstream.EngineController

	mu      sync.Mutex // held while a command is sent, so that an older one can't arrive after it
	highest atomic.Uint64

	sent, stale, notReady atomic.Uint64
}

// New returns a Guard in front of an EngineController.
func New(st Store, next citronstream.EngineController) *Guard { return &Guard{store: st, next: next} }

// Token returns the fencing token of a configuration version and an agent's epoch
// (design, section 13).
func Token(version, epoch uint64) uint64 { return version<<16 | epoch&0xffff }

// Order implements citronstream.Orderer. It returns faults with the verdict
// NotRun: CodeNotReady if the highest token has not been read or the command's
// token can't be stored, CodeStale for a token below the highest. Other errors
// come from the engine.
func (gu *Guard) Order(ctx context.Context, address string, eo citronstream.EngineOrder) error {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	stored, ok := gu.store.Token()
	if !ok {
		gu.notReady.Add(1)
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "the highest fencing token has not been read yet")
	}
	highest := max(stored, gu.highest.Load())
	if eo.Token < highest {
		gu.stale.Add(1)
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "fencing token %d is below %d", eo.Token, highest)
	}
	// A token that is already stored is written again: the write depends on the
	// epoch, so that an agent that was paused and replaced fails here before it
	// repeats a command.
	if err := gu.store.RaiseToken(ctx, eo.Token); err != nil {
		gu.notReady.Add(1)
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "fencing token %d can't be stored: %s", eo.Token, err)
	}
	gu.highest.Store(max(highest, eo.Token))
	gu.sent.Add(1)
	return gu.next.Order(ctx, address, eo)
}

// Counts returns the counters.
func (gu *Guard) Counts() Counts {
	return Counts{Sent: gu.sent.Load(), Stale: gu.stale.Load(), NotReady: gu.notReady.Load(), Highest: gu.highest.Load()}
}

var _ citronstream.EngineController = (*Guard)(nil)
