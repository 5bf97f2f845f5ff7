// Package guard fences commands to engines (design, section 13). It stands in
// for engines that ignore fencing tokens.
package guard

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/citronstream/citronstream"
)

// Store holds the highest token durably. grant.Grant implements it.
type Store interface {
	// Token returns the highest token, and false until it has been read.
	Token() (uint64, bool)
	// RaiseToken returns nil only when the store is known to hold the token.
	RaiseToken(ctx context.Context, token uint64) error
}

// Counts is a snapshot of the counters.
type Counts struct {
	Sent, Stale, NotReady uint64
	Highest               uint64
}

// Guard passes commands on in the order of their tokens.
type Guard struct {
	store Store
	next  citronstream.EngineController

	mu      sync.Mutex // held while a command is sent, so that an older one can't overtake it
	highest atomic.Uint64

	sent, stale, notReady atomic.Uint64
}

// New returns a Guard in front of an EngineController.
func New(st Store, next citronstream.EngineController) *Guard { return &Guard{store: st, next: next} }

// Token combines a configuration version and an agent's epoch (design, section 13).
func Token(version, epoch uint64) uint64 { return version<<16 | epoch&0xffff }

// Order implements citronstream.Orderer. Faults, all with the verdict NotRun:
// CodeNotReady until the highest token has been read and while a higher one
// can't be stored, CodeStale for a token below the highest. Other errors come
// from the engine.
func (gu *Guard) Order(ctx context.Context, address string, or citronstream.EngineOrder) error {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	stored, ok := gu.store.Token()
	if !ok {
		gu.notReady.Add(1)
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "the highest fencing token is not known yet")
	}
	highest := max(stored, gu.highest.Load())
	if or.Token < highest {
		gu.stale.Add(1)
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "fencing token %d is below %d", or.Token, highest)
	}
	// A token that is stored already is written again: the write is
	// conditional on the epoch, so that an agent that was paused and replaced
	// learns it before it repeats a command.
	if err := gu.store.RaiseToken(ctx, or.Token); err != nil {
		gu.notReady.Add(1)
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "fencing token %d can't be stored: %s", or.Token, err)
	}
	gu.highest.Store(max(highest, or.Token))
	gu.sent.Add(1)
	return gu.next.Order(ctx, address, or)
}

// Counts returns the counters.
func (gu *Guard) Counts() Counts {
	return Counts{Sent: gu.sent.Load(), Stale: gu.stale.Load(), NotReady: gu.notReady.Load(), Highest: gu.highest.Load()}
}

var _ citronstream.EngineController = (*Guard)(nil)
