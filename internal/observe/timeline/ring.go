// Package timeline keeps a process's recent events and merges the events of
// many processes in causal order.
package timeline

import (
	"sync/atomic"

	"github.com/citronstream/citronstream"
)

// Size is the number of events that a Ring keeps (design page, section 15).
const Size = 4096

type record struct {
	seq uint64
	ev  citronstream.Event
}

// Ring is a ring buffer of events with a hybrid logical clock. It is lock-free:
// a writer claims a position with one atomic add.
type Ring struct {
	hlc     *hybridClock
	process string
	next    atomic.Uint64
	slots   [Size]atomic.Pointer[record]
}

// Option changes a Ring.
type Option func(*Ring)

// WithProcess sets the process of events that have none.
func WithProcess(name string) Option { return func(ri *Ring) { ri.process = name } }

// New returns an empty ring.
func New(clk citronstream.Clock, opts ...Option) *Ring {
	ri := &Ring{hlc: &hybridClock{clk: clk}}
	for _, opt := range opts {
		opt(ri)
	}
	return ri
}

// Record implements citronstream.Recorder. An event without a time gets the
// ring's clock. The oldest event is overwritten when the ring is full.
func (ri *Ring) Record(ev citronstream.Event) {
	if ev.At == 0 {
		ev.At = ri.hlc.now()
	}
	if ev.Process == "" {
		ev.Process = ri.process
	}
	re := &record{seq: ri.next.Add(1), ev: ev}
	slot := &ri.slots[re.seq%Size]
	for old := slot.Load(); old == nil || old.seq < re.seq; old = slot.Load() {
		if slot.CompareAndSwap(old, re) {
			return
		}
	}
	// If other writers have filled the whole ring in the meantime, the event is
	// dropped: it is older than everything in the ring.
}

// Now implements citronstream.Recorder.
func (ri *Ring) Now() uint64 { return ri.hlc.now() }

// Observe implements citronstream.Recorder.
func (ri *Ring) Observe(at uint64) { ri.hlc.observe(at) }

// Rejected returns the number of observed clocks that were ignored because
// they were too far ahead of this process.
func (ri *Ring) Rejected() uint64 { return ri.hlc.rejected.Load() }

// Len returns the number of events in the ring.
func (ri *Ring) Len() int { return int(min(ri.next.Load(), Size)) }

// Total returns the number of events recorded since the start.
func (ri *Ring) Total() uint64 { return ri.next.Load() }

// Snapshot returns the events that match the filter, in the order of their clocks.
func (ri *Ring) Snapshot(fi Filter) []citronstream.Event {
	events := make([]citronstream.Event, 0, ri.Len())
	for i := range ri.slots {
		if re := ri.slots[i].Load(); re != nil {
			events = append(events, re.ev)
		}
	}
	return fi.Apply(Merge(events))
}

var _ citronstream.Recorder = (*Ring)(nil)
