// Package selfreport keeps what upstreams say of themselves in their responses: that they
// leave. Load pattern: many upstreams that are replaced at once under full load, while their
// rows say nothing of it yet, or can't be read.
package selfreport

import "time"

// maxUpstreams bounds the record. The largest site has some hundred upstreams.
const maxUpstreams = 4096

// state is what one process of an upstream has said.
type state struct {
	startedMs int64 // start of the process, as in Member
	said      time.Time
}

// Reports is the record of all upstreams. The caller serializes the calls.
type Reports struct {
	leaving map[string]state // by ID
}

// New returns an empty record.
func New() *Reports { return &Reports{leaving: make(map[string]state)} }

// Leaves records that the process of an upstream with this start has said that it leaves,
// and reports whether that is news. Above the bound, what was said first is forgotten.
func (re *Reports) Leaves(id string, startedMs int64, now time.Time) bool {
	if old, known := re.leaving[id]; known && old.startedMs >= startedMs {
		return false
	}
	if _, known := re.leaving[id]; !known && len(re.leaving) >= maxUpstreams {
		re.forgetOldest()
	}
	re.leaving[id] = state{startedMs: startedMs, said: now}
	return true
}

func (re *Reports) forgetOldest() {
	oldest := ""
	for id, st := range re.leaving {
		if oldest == "" || st.said.Before(re.leaving[oldest].said) {
			oldest = id
		}
	}
	delete(re.leaving, oldest)
}

// Leaving reports whether the process of an upstream with this start, or a later one, has
// said that it leaves.
func (re *Reports) Leaving(id string, startedMs int64) bool {
	st, known := re.leaving[id]
	return known && startedMs <= st.startedMs
}

// Started records the start of an upstream's process by its row. A newer process than the
// one that has said that it leaves takes work; it reports whether that is the case.
func (re *Reports) Started(id string, startedMs int64) bool {
	if st, known := re.leaving[id]; !known || startedMs <= st.startedMs {
		return false
	}
	delete(re.leaving, id)
	return true
}

// Len returns the number of upstreams that have said that they leave.
func (re *Reports) Len() int { return len(re.leaving) }
