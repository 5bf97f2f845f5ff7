package broker

import (
	"maps"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// loadTTL is how long a reported queue load is used. While work waits it is
	// renewed every 100 ms with few gateways and every 2.3 s with 364.
	loadTTL = 3 * time.Second
	// pauseRepeat is how often peers are told that all upstreams of a queue are in a pause,
	// which is shorter than loadTTL, pauseChange the change of its end that is told at once.
	pauseRepeat = 2 * time.Second
	pauseChange = 50 * time.Millisecond
	// maxPause bounds the pauses that owners tell. That of an upstream is no longer
	// (package selfreport).
	maxPause = 30 * time.Second
	// maxServices is the number of services whose load is kept.
	maxServices = 1024
)

// load is the last load that an owner reported.
type load struct {
	citronstream.QueueLoad
	at time.Time
}

// report is what the peers were told of a queue of this process.
type report struct {
	busy        bool
	at          time.Time
	pausedUntil time.Time // zero if not all of its upstreams were in a pause
}

// QueueWait returns the time until a job of a queue with this slack and route's rank
// starts, by the last load its owner reported, and 0 without one. Admitted
// says that it is not up for admission any more.
func (br *Broker) QueueWait(name string, slack time.Duration, rank int, admitted bool) time.Duration {
	br.mu.Lock()
	ld, known := br.loads[name]
	br.mu.Unlock()
	age := br.clk.Since(ld.at)
	ld.Pause = max(0, ld.Pause-age)
	switch {
	case !known || age > loadTTL:
		return 0
	case admitted:
		return ld.Wait(slack, rank)
	}
	return ld.WaitNew(slack, rank)
}

// Pause returns the time until the first upstream of a queue takes work again, if its owner
// said last that all of them are in a pause.
func (br *Broker) Pause(name string) time.Duration {
	br.mu.Lock()
	ld := br.loads[name]
	br.mu.Unlock()
	age := br.clk.Since(ld.at)
	if age > loadTTL {
		return 0
	}
	return max(0, ld.Pause-age)
}

// UpdateLoads stores the queue loads that an owner reports.
func (br *Broker) UpdateLoads(qu citronstream.QueueLoads) {
	now := br.clk.Now()
	br.mu.Lock()
	defer br.mu.Unlock()
	for name, ql := range qu.Loads {
		if len(br.loads) < maxServices || br.loads[name].at != (time.Time{}) {
			ql.Pause = max(0, min(ql.Pause, maxPause))
			br.loads[name] = load{ql, now}
		}
	}
}

// ChangedLoads returns the load of the queues of this process that have work or had some
// at the last call, or of whose upstreams all are in a pause that is news, to be sent to the
// peers. It is called by one goroutine.
func (br *Broker) ChangedLoads() (citronstream.QueueLoads, bool) {
	changed := citronstream.QueueLoads{Loads: make(map[string]citronstream.QueueLoad)}
	br.mu.Lock()
	owners := maps.Clone(br.owners)
	br.mu.Unlock()
	now := br.clk.Now()
	for qu, ow := range owners {
		last, next, ql := br.reported[qu], report{busy: ow.Len() > 0, at: now}, ow.Load()
		if ql.Pause > 0 {
			next.pausedUntil = now.Add(ql.Pause)
		}
		if next.busy || last.busy || next.pauseChanged(last) && br.owns(qu) {
			changed.Loads[qu.name()] = ql
			br.reported[qu] = next
		}
	}
	br.UpdateLoads(changed)
	return changed, len(changed.Loads) > 0
}

// pauseChanged reports whether a pause began, ended early or has another end than what was
// told last, or is to be told again.
func (re report) pauseChanged(last report) bool {
	if re.pausedUntil.IsZero() {
		return last.pausedUntil.After(re.at)
	}
	return re.at.Sub(last.at) >= pauseRepeat || re.pausedUntil.Sub(last.pausedUntil).Abs() > pauseChange
}
