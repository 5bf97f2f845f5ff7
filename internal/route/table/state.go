package table

import "time"

// State is the membership state of an upstream. Larger values are worse.
type State uint8

// The states of an upstream. Only Live upstreams receive work in the
// ordinary case, Suspect ones only when a service has no live upstream.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

var stateNames = [...]string{"live", "suspect", "leaving", "gone"}

// String returns the state's name as status output shows it.
func (st State) String() string { return stateNames[st] }

// Source is where a change of state was learned.
type Source uint8

// The sources of a state. Each holds its own opinion and the worst one
// counts, so that a lagging source can't overrule an earlier warning.
const (
	FromNone         Source = iota
	FromAnnouncement        // Peer.Drain or Load.Leaving
	FromReport              // Load.Down
	FromList                // the platform's list
	FromHeartbeat           // missed heartbeats
	FromLink                // the link closed
	sources
)

var sourceNames = [...]string{"none", "announcement", "report", "list", "heartbeat", "link"}

// String returns the source's name as status output shows it.
func (so Source) String() string { return sourceNames[so] }

// Status is the state of an upstream and its first cause.
type Status struct {
	State  State
	Source Source    // first source that reported the current departure from Live
	At     time.Time // time of that report
}

// verdicts is an immutable value; a change replaces the whole of it.
type verdicts struct {
	Status
	by [sources]State
}

// with returns the verdicts after one source changed its opinion.
func (ve *verdicts) with(so Source, st State, now time.Time) *verdicts {
	next := *ve
	next.by[so] = st
	worst := Live
	for _, each := range next.by {
		worst = max(worst, each)
	}
	next.State = worst
	switch {
	case worst == Live:
		next.Source, next.At = FromNone, now
	case ve.State == Live || next.by[ve.Source] == Live:
		next.Source, next.At = firstOf(next.by, so), now
	}
	return &next
}

// firstOf prefers the source that just spoke; when that one has withdrawn,
// it takes any source that still objects.
func firstOf(by [sources]State, spoke Source) Source {
	if by[spoke] != Live {
		return spoke
	}
	for so, st := range by {
		if st != Live {
			return Source(so)
		}
	}
	return FromNone
}
