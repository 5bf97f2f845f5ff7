package timeline

import (
	"cmp"
	"slices"

	"github.com/citronstream/citronstream"
)

// Filter selects events. An empty field matches everything.
type Filter struct {
	// RequestID also selects events that name only an attempt of the request.
	RequestID string `json:"RequestID,omitempty"`
	// Processes selects any of these processes. The processes of an instance
	// are found in the inventory.
	Processes []string `json:"Processes,omitempty"`
	Upstream  string   `json:"Upstream,omitempty"`
	Kind      string   `json:"Kind,omitempty"`
	// Since is a hybrid clock value; At converts a time to one.
	Since uint64 `json:"Since,omitempty"`
	// Limit keeps the latest events only; 0 keeps all.
	Limit int `json:"Limit,omitempty"`
}

// Apply returns the matching events and keeps their order.
func (fi Filter) Apply(events []citronstream.Event) []citronstream.Event {
	attempts := attemptsOf(events, fi.RequestID)
	var found []citronstream.Event
	for _, ev := range events {
		if fi.matches(ev) && (fi.RequestID == "" || concerns(ev, fi.RequestID, attempts)) {
			found = append(found, ev)
		}
	}
	if fi.Limit > 0 && len(found) > fi.Limit {
		found = found[len(found)-fi.Limit:]
	}
	return found
}

func (fi Filter) matches(ev citronstream.Event) bool {
	return (len(fi.Processes) == 0 || slices.Contains(fi.Processes, ev.Process)) &&
		(fi.Upstream == "" || fi.Upstream == ev.Upstream) &&
		(fi.Kind == "" || fi.Kind == ev.Kind) &&
		ev.At >= fi.Since
}

// ForRequest returns the events of one request, in order, from the merged
// events of any number of processes.
func ForRequest(events []citronstream.Event, requestID string) []citronstream.Event {
	return Filter{RequestID: requestID}.Apply(events)
}

func attemptsOf(events []citronstream.Event, requestID string) map[string]bool {
	attempts := make(map[string]bool)
	if requestID == "" {
		return attempts
	}
	for _, ev := range events {
		if ev.RequestID == requestID && ev.AttemptID != "" {
			attempts[ev.AttemptID] = true
		}
	}
	return attempts
}

func concerns(ev citronstream.Event, requestID string, attempts map[string]bool) bool {
	return ev.RequestID == requestID || ev.RequestID == "" && attempts[ev.AttemptID]
}

// Merge orders the events of many processes by their hybrid clocks, so that a
// cause sorts before its effect, and drops duplicates.
func Merge(lists ...[]citronstream.Event) []citronstream.Event {
	events := slices.Concat(lists...)
	slices.SortStableFunc(events, func(ev, other citronstream.Event) int {
		return cmp.Or(
			cmp.Compare(ev.At, other.At),
			cmp.Compare(ev.Process, other.Process),
			cmp.Compare(ev.Kind, other.Kind),
			cmp.Compare(ev.RequestID, other.RequestID),
			cmp.Compare(ev.AttemptID, other.AttemptID),
			cmp.Compare(ev.Detail, other.Detail),
		)
	})
	return slices.Compact(events)
}
