// Package cachefeed follows the changes of an engine's prefix cache and passes
// them on to the entries, which take them as hints (design, section 9).
package cachefeed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/route/prefix"
	"github.com/citronstream/citronstream/internal/upstream/report"
)

const (
	// Every is the mean interval of polls while calls run.
	Every = 250 * time.Millisecond
	// linger is how long polls go on after the last call: engines publish
	// their events late.
	linger = 2 * time.Second
	// readWait bounds one poll.
	readWait = time.Second
	// maxBlocks bounds the blocks of one group, about 2.7 KB as JSON.
	maxBlocks = 128
	// maxGroups bounds the groups of one poll. What is above is left out, and
	// shows as a gap.
	maxGroups = 4
)

// Source reads an engine's cache events.
type Source interface {
	CacheEvents(ctx context.Context, address string, since uint64) ([]report.CacheEvent, error)
}

// Counts is a snapshot of the counters.
type Counts struct {
	Polls, Failed, Events, Groups, Gaps, Restarts uint64
}

// Feed follows one engine.
type Feed struct {
	clk      citronstream.Clock
	src      Source
	upstream string
	address  string
	busy     func() bool
	send     func(prefix.Event)

	// The fields below are used by the loop only.
	epoch uint64 // grows with each start of the agent or the engine
	seq   uint64 // of the last group
	last  report.CacheEvent

	polls, failed, events, groups, gaps, restarts atomic.Uint64
}

// New returns a Feed. Busy says whether calls run; send passes a group on and
// must not block.
func New(clk citronstream.Clock, src Source, upstream, address string, busy func() bool, send func(prefix.Event)) *Feed {
	return &Feed{clk: clk, src: src, upstream: upstream, address: address, busy: busy, send: send, epoch: uint64(clk.Now().UnixMilli())}
}

// Counts returns the counters.
func (fe *Feed) Counts() Counts {
	return Counts{
		Polls: fe.polls.Load(), Failed: fe.failed.Load(), Events: fe.events.Load(),
		Groups: fe.groups.Load(), Gaps: fe.gaps.Load(), Restarts: fe.restarts.Load(),
	}
}

// Run polls until ctx ends. The channel is closed at its end.
func (fe *Feed) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var until time.Time
		for {
			timer := fe.clk.NewTimer(Every*3/4 + rand.N(Every/2))
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.Chan():
			}
			now := fe.clk.Now()
			if fe.busy() {
				until = now.Add(linger)
			}
			if now.Before(until) {
				fe.poll(ctx)
			}
		}
	}()
	return ended
}

// poll reads the events since the last poll. The last event is read again: if
// it is missing or another one, the engine has restarted or lost events.
func (fe *Feed) poll(ctx context.Context) {
	fe.polls.Add(1)
	ctx, cancel := grant.WithTimeout(ctx, fe.clk, readWait)
	defer cancel()
	events, err := fe.src.CacheEvents(ctx, fe.address, max(fe.last.Seq, 1)-1)
	if err != nil {
		fe.failed.Add(1)
		return
	}
	if fe.last.Seq > 0 {
		switch {
		case len(events) == 0 || events[0].Seq <= fe.last.Seq && events[0] != fe.last:
			fe.restart()
			return
		case events[0] == fe.last:
			events = events[1:]
		}
	}
	if len(events) > 0 {
		fe.pass(events)
	}
}

// restart forgets the engine's former life. The next poll reads from the start.
func (fe *Feed) restart() {
	fe.restarts.Add(1)
	fe.epoch, fe.seq, fe.last = fe.epoch+1, 1, report.CacheEvent{}
	fe.send(prefix.Event{Upstream: fe.upstream, Epoch: fe.epoch, Seq: fe.seq, Cleared: true})
}

// pass sends the net change in groups. Lost events show as a gap in the
// groups' sequence.
func (fe *Feed) pass(events []report.CacheEvent) {
	final := make(map[uint64]string, len(events))
	for _, ev := range events {
		if fe.last.Seq > 0 && ev.Seq != fe.last.Seq+1 {
			fe.gap()
		}
		fe.last = ev
		final[ev.Block] = ev.Kind
	}
	fe.events.Add(uint64(len(events)))
	ev, size, sent := prefix.Event{Upstream: fe.upstream, Epoch: fe.epoch}, 0, 0
	flush := func() {
		fe.seq++
		ev.Seq = fe.seq
		fe.send(ev)
		fe.groups.Add(1)
		ev.Stored, ev.Evicted, size = nil, nil, 0
		sent++
	}
	for block, kind := range final {
		if kind == report.Stored {
			ev.Stored = append(ev.Stored, block)
		} else {
			ev.Evicted = append(ev.Evicted, block)
		}
		if size++; size < maxBlocks {
			continue
		}
		if flush(); sent == maxGroups {
			fe.gap()
			return
		}
	}
	if size > 0 {
		flush()
	}
}

func (fe *Feed) gap() {
	fe.seq++
	fe.gaps.Add(1)
}
