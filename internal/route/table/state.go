package table

import "time"

// State is the membership state of an upstream. Larger values are worse.
type State uint8

// The states of an upstream. Suspect upstreams receive work only when a
// service has no live one; Leaving and Gone ones receive none.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

var stateNames = [...]string{"live", "suspect", "leaving", "gone"}

// String returns the state's name as status output shows it.
func (st State) String() string { return stateNames[st] }

// Source is the origin of a state.
type Source uint8

// The sources of a state. The table stores a state for each source and the
// worst one counts, so that a lagging source can't overrule an earlier warning.
const (
	FromNone         Source = iota
	FromAnnouncement        // Peer.Drain or Load.Leaving
	FromReport              // Load.Down
	FromList                // the platform's list
	FromHeartbeat           // missed heartbeats
	FromLink                // the link closed
	sourceCount
)

var sourceNames = [...]string{"none", "announcement", "report", "list", "heartbeat", "link"}

// String returns the source's name as status output shows it.
func (src Source) String() string { return sourceNames[src] }

// Status is the state of an upstream and the source that caused it.
type Status struct {
	State  State
	Source Source    // first source that reported the current departure from Live
	At     time.Time // time of that report
}

// membership holds the state that each source reports. It is immutable; a
// change replaces the whole value.
type membership struct {
	Status
	bySource [sourceCount]State
}

// with returns a copy in which one source reports another state.
func (ms *membership) with(src Source, st State, now time.Time) *membership {
	next := *ms
	next.bySource[src] = st
	worst := Live
	for _, each := range next.bySource {
		worst = max(worst, each)
	}
	next.State = worst
	switch {
	case worst == Live:
		next.Source, next.At = FromNone, now
	case ms.State == Live || next.bySource[ms.Source] == Live:
		next.Source, next.At = firstSource(next.bySource, src), now
	}
	return &next
}

// firstSource returns the source that just changed or, if that one now reports
// Live, the first other source that doesn't.
func firstSource(bySource [sourceCount]State, changed Source) Source {
	if bySource[changed] != Live {
		return changed
	}
	for src, st := range bySource {
		if st != Live {
			return Source(src)
		}
	}
	return FromNone
}
