// Package cachefeed polls the changes of an engine's prefix cache and sends them
// to the entries, which use them as hints (design, section 9).
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
	// Every is the mean poll interval while calls are running.
	Every = 250 * time.Millisecond
	// pollAfterLastCall is how long polling continues after the last call, as
	// engines publish their events with a delay.
	pollAfterLastCall = 2 * time.Second
	// readTimeout bounds one poll.
	readTimeout = time.Second
	// maxBlocks bounds the blocks of one group: about 2.7 KB as JSON.
	maxBlocks = 128
	// maxGroups bounds the groups of one poll. Further changes are dropped, and
	// the entries see a gap in the sequence numbers.
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

// Feed polls one engine.
type Feed struct {
	clk      citronstream.Clock
	src      Source
	upstream string
	address  string
	busy     func() bool
	send     func(prefix.Event)

	// The fields below are used by the loop only.
	epoch uint64 // increases with each start of the agent or the engine
	seq   uint64 // of the last group
	last  report.CacheEvent

	polls, failed, events, groups, gaps, restarts atomic.Uint64
}

// New returns a Feed. Busy reports whether calls are running; send sends a group
// and must not block.
func New(clk citronstream.Clock, src Source, upstream, address string, busy func() bool, send func(prefix.Event)) *Feed {
	return &Feed{clk: clk, src: src, upstream: upstream, address: address, busy: busy, send: send, epoch: uint64(clk.Now().UnixMilli())}
}

// Counts returns the counters.
func (fd *Feed) Counts() Counts {
	return Counts{
		Polls: fd.polls.Load(), Failed: fd.failed.Load(), Events: fd.events.Load(),
		Groups: fd.groups.Load(), Gaps: fd.gaps.Load(), Restarts: fd.restarts.Load(),
	}
}

// Run polls until ctx ends. The channel is closed when it returns.
func (fd *Feed) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var until time.Time
		for {
			timer := fd.clk.NewTimer(Every*3/4 + rand.N(Every/2))
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.Chan():
			}
			now := fd.clk.Now()
			if fd.busy() {
				until = now.Add(pollAfterLastCall)
			}
			if now.Before(until) {
				fd.poll(ctx)
			}
		}
	}()
	return ended
}

// poll reads the events since the last poll. The last event is read again: if
// it is missing or differs, the engine has restarted or lost events.
func (fd *Feed) poll(ctx context.Context) {
	fd.polls.Add(1)
	ctx, cancel := grant.WithTimeout(ctx, fd.clk, readTimeout)
	defer cancel()
	events, err := fd.src.CacheEvents(ctx, fd.address, max(fd.last.Seq, 1)-1)
	if err != nil {
		fd.failed.Add(1)
		return
	}
	if fd.last.Seq > 0 {
		switch {
		case len(events) == 0 || events[0].Seq <= fd.last.Seq && events[0] != fd.last:
			fd.restart()
			return
		case events[0] == fd.last:
			events = events[1:]
		}
	}
	if len(events) > 0 {
		fd.sendGroups(events)
	}
}

// restart discards the state of the engine before its restart. The next poll
// reads from the start.
func (fd *Feed) restart() {
	fd.restarts.Add(1)
	fd.epoch, fd.seq, fd.last = fd.epoch+1, 1, report.CacheEvent{}
	fd.send(prefix.Event{Upstream: fd.upstream, Epoch: fd.epoch, Seq: fd.seq, Cleared: true})
}

// sendGroups sends the net change in groups. Lost events appear as a gap in the
// sequence numbers of the groups.
func (fd *Feed) sendGroups(events []report.CacheEvent) {
	final := make(map[uint64]string, len(events))
	for _, ev := range events {
		if fd.last.Seq > 0 && ev.Seq != fd.last.Seq+1 {
			fd.gap()
		}
		fd.last = ev
		final[ev.Block] = ev.Kind
	}
	fd.events.Add(uint64(len(events)))
	ev, size, sent := prefix.Event{Upstream: fd.upstream, Epoch: fd.epoch}, 0, 0
	flush := func() {
		fd.seq++
		ev.Seq = fd.seq
		fd.send(ev)
		fd.groups.Add(1)
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
			fd.gap()
			return
		}
	}
	if size > 0 {
		flush()
	}
}

func (fd *Feed) gap() {
	fd.seq++
	fd.gaps.Add(1)
}
