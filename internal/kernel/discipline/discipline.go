// Package discipline is the registry of queue disciplines, the plug-ins that
// order the calls waiting at an agent.
package discipline

import (
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/registry"
)

// Settings has the parameters of a discipline.
type Settings struct {
	Clock citronstream.Clock
	// Fleet gives ranks, workspaces and Limits.MaxQueued.
	Fleet citronstream.Fleet
	// Capacity is the number of calls that the upstream runs concurrently.
	Capacity int
	// Rate is the initial estimate of the upstream's throughput, in cost units a second.
	Rate float64
}

// Factory creates a discipline.
type Factory func(se Settings) citronstream.Discipline

// Registry has the known disciplines by name.
var Registry = registry.New[Factory]("queue discipline")
