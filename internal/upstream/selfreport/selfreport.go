// Package selfreport keeps what upstreams say of themselves in their responses: that they
// leave, and that they want a pause. Load pattern: many upstreams that are replaced at once
// under full load, while their rows say nothing of it yet, or can't be read; upstreams that
// ask for a pause in a burst and would get the whole of it at the end of that pause.
package selfreport

import (
	"sync"
	"time"
)

const (
	// maxUpstreams bounds the record. The largest site has some hundred upstreams.
	maxUpstreams = 4096
	// maxPause bounds a pause: a wrong value must not take an upstream out of service for
	// longer than its restart would.
	maxPause = 30 * time.Second
	// Traffic returns over half of the time of the pause, within these bounds.
	minRamp = 500 * time.Millisecond
	maxRamp = 3 * time.Second
)

// State is what one process of an upstream has said. The zero value has said nothing. Its
// methods are called concurrently, and may be called on nil.
type State struct {
	startedMs int64 // start of the process, as in Member

	mu      sync.Mutex
	leaving bool
	until   time.Time // end of the pause; zero if there was none
	ramp    time.Duration
}

func (st *State) leave() (news bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	news = !st.leaving
	st.leaving = true
	return news
}

// Leaving reports whether the process has said that it leaves.
func (st *State) Leaving() bool {
	if st == nil {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.leaving
}

// Pause records that the process has asked for a pause, and reports whether it had none. The
// end of a longer pause stays; no pause at all is no news.
func (st *State) Pause(pause time.Duration, now time.Time) (news bool) {
	if st == nil || pause <= 0 {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	pause = min(pause, maxPause)
	news = !now.Before(st.until)
	if until := now.Add(pause); until.After(st.until) {
		st.until, st.ramp = until, min(max(pause/2, minRamp), maxRamp)
	}
	return news
}

// Paused returns the end of the pause, if the process is in one.
func (st *State) Paused(now time.Time) (until time.Time, paused bool) {
	if st == nil {
		return time.Time{}, false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.until, now.Before(st.until)
}

// Returned returns the end of the time in which traffic returns after the pause.
func (st *State) Returned() time.Time {
	if st == nil {
		return time.Time{}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.until.Add(st.ramp)
}

// Share returns the share of its traffic that the upstream gets, from 0 in the pause to 1.
func (st *State) Share(now time.Time) float64 {
	if st == nil {
		return 1
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case st.until.IsZero() || !now.Before(st.until.Add(st.ramp)):
		return 1
	case now.Before(st.until):
		return 0
	}
	return float64(now.Sub(st.until)) / float64(st.ramp)
}

// Reports is the record of all upstreams. The caller serializes the calls.
type Reports struct {
	states map[string]*State // by ID
	order  []string          // IDs, the oldest first
}

// New returns an empty record.
func New() *Reports { return &Reports{states: make(map[string]*State)} }

// Of returns the state of the process of an upstream with this start, or of a later one that
// is known. Above the bound, the upstream that was added first is forgotten.
func (re *Reports) Of(id string, startedMs int64) *State {
	old, known := re.states[id]
	if known && startedMs <= old.startedMs {
		return old
	}
	if !known {
		if len(re.states) >= maxUpstreams {
			delete(re.states, re.order[0])
			re.order = re.order[1:]
		}
		re.order = append(re.order, id)
	}
	re.states[id] = &State{startedMs: startedMs}
	return re.states[id]
}

// Leaves records that the process of an upstream with this start has said that it leaves,
// and reports whether that is news.
func (re *Reports) Leaves(id string, startedMs int64) bool { return re.Of(id, startedMs).leave() }

// Leaving reports whether the process of an upstream with this start, or a later one, has
// said that it leaves.
func (re *Reports) Leaving(id string, startedMs int64) bool {
	st, known := re.states[id]
	return known && startedMs <= st.startedMs && st.Leaving()
}

// Counts returns the number of upstreams that have said that they leave, and of those in a
// pause.
func (re *Reports) Counts(now time.Time) (leaving, paused int) {
	for _, st := range re.states {
		if st.Leaving() {
			leaving++
		}
		if _, is := st.Paused(now); is {
			paused++
		}
	}
	return leaving, paused
}
