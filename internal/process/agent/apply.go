package agent

import "github.com/citronstream/citronstream"

// Apply puts a configuration in force: ranks, workspaces, limits and entries.
// An older one than that in force is ignored. A change of the upstream's own
// addresses, capacity or service takes effect when the agent starts again.
func (ag *Agent) Apply(fl *citronstream.Fleet) {
	for {
		old := ag.fleet.Load()
		if fl.Version <= old.Version {
			return
		}
		if ag.fleet.CompareAndSwap(old, fl) {
			break
		}
	}
	ag.Holds.Configure(fl.Limits)
	if qu, ok := ag.queue.(interface{ Configure(fl citronstream.Fleet) }); ok {
		qu.Configure(*fl)
	}
}

// Fleet returns the configuration in force.
func (ag *Agent) Fleet() *citronstream.Fleet { return ag.fleet.Load() }
