// Package policy compares queueing, retry and routing policies in a
// discrete-event simulation on a fake clock. It drives the real plug-ins
// against fake upstreams; links, processes and the platform are not simulated.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/discipline"
	_ "github.com/citronstream/citronstream/internal/limit/fairqueue" // registers "fair"
)

// Target is an upstream as a routing policy is told of it at the start.
type Target struct {
	Name     string
	Zone     string
	Capacity int
}

// PickerSettings is what a routing policy of one entry for one service is built from.
type PickerSettings struct {
	Service  string
	Targets  []Target
	Zone     string             // of the entry
	Distance time.Duration      // one way between zones
	Fleet    citronstream.Fleet // ranks and limits
	Clock    citronstream.Clock
	Random   *rand.Rand
}

// PickerFactory builds a routing policy.
type PickerFactory func(se PickerSettings) citronstream.Picker

// LoadTaker is a Picker that uses load reports.
type LoadTaker interface {
	TakeLoad(lo citronstream.Load)
}

// ResultTaker is a LoadTaker that also takes the report that each result
// carries to its entry.
type ResultTaker interface {
	LoadTaker
	TakeResultLoad(lo citronstream.Load)
}

// Policy is a combination to be measured.
type Policy struct {
	Name       string
	Discipline discipline.Factory
	Picker     PickerFactory
	// Budgeted uses stagetime for admission and deadlines, retrybudget for
	// retries, and withdraws calls that are no longer wanted. Otherwise each
	// call gets the request's whole deadline, and goes on after a timeout.
	Budgeted bool
	// Timeout is the share of the request's deadline after which an attempt
	// is given up and sent once more; 0 means no timeout and no retry. It
	// applies without Budgeted.
	Timeout float64
}

// Fair is this project's policy. A nil picker means the default routing policy.
func Fair(picker PickerFactory) Policy {
	if picker == nil {
		picker = newNearest
	}
	fair, err := discipline.Registry.Get("fair")
	if err != nil {
		panic(err) // imported above
	}
	return Policy{Name: "fair", Discipline: fair, Picker: picker, Budgeted: true}
}

// RoundRobin is the baseline of a FIFO queue, round robin, a timeout of half
// the deadline and one retry.
func RoundRobin() Policy {
	return Policy{Name: "round-robin", Discipline: newFIFO, Picker: newRoundRobin, Timeout: 0.5}
}

// LeastReported is the baseline of a FIFO queue and the least load by the last report.
func LeastReported() Policy {
	return Policy{Name: "least-report", Discipline: newFIFO, Picker: newLeastReported}
}
