// Package fullsize generates examples/full.json, a fleet of the size that the system is
// designed for (design page, section 1.4).
package fullsize

import (
	"fmt"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
)

// Counts of section 1.4. There are 6,700 accelerators in all: 8 per engine and 2 per
// encoder and reranker.
const (
	regions    = 8
	entries    = 360
	pipelines  = 27
	workspaces = 1700
	engines    = 700
	encoders   = 300
	rerankers  = 250
	retrievers = 150
	plain      = 300
)

// Generator builds the fleet. Its output is deterministic.
type Generator struct {
	fl        *citronstream.Fleet
	zones     [][]string // by region
	instances int        // number of instances so far
}

// New returns a Generator.
func New() *Generator { return &Generator{} }

// Settings returns the settings document with the fleet.
func (ge *Generator) Settings() *settings.Settings {
	ge.fl = &citronstream.Fleet{
		Site:   "full-size",
		Owners: []citronstream.Owner{{Name: "magnolia"}, {Name: "nullagine"}},
		Ranks: []citronstream.Rank{
			{Name: "urgent", Deadline: citronstream.Duration(2 * time.Second), Worth: 10, Floor: 0.3},
			{Name: "standard", Deadline: citronstream.Duration(6 * time.Second), Worth: 3, Floor: 0.2},
			{Name: "batch", Deadline: citronstream.Duration(time.Minute), Worth: 1, Floor: 0.05},
		},
		Limits: citronstream.DefaultLimits(),
	}
	ge.instances = 0
	ge.addRegions()
	ge.addWorkspaces()
	ge.addModels()
	ge.addServices()
	ge.addUpstreams()
	ge.addEntries()
	ge.addPipelines()
	return &settings.Settings{Fleet: ge.fl}
}

func owner(i int) string { return []string{"magnolia", "nullagine"}[i%2] }

// addRegions adds four regions with 3 zones and four with 2, 20 zones in all.
func (ge *Generator) addRegions() {
	ge.zones = make([][]string, regions)
	for i := range regions {
		re := citronstream.Region{Name: fmt.Sprintf("region-%d", i+1)}
		count := 3
		if i >= regions/2 {
			count = 2
		}
		for j := range count {
			name := fmt.Sprintf("%s%c", re.Name, 'a'+j)
			re.Zones = append(re.Zones, citronstream.Zone{Name: name, Distance: citronstream.Duration(time.Millisecond)})
			ge.zones[i] = append(ge.zones[i], name)
		}
		ge.fl.Regions = append(ge.fl.Regions, re)
	}
}

// addWorkspaces adds a few workspaces of high weight and many of low weight.
func (ge *Generator) addWorkspaces() {
	for i := range workspaces {
		ge.fl.Workspaces = append(ge.fl.Workspaces, citronstream.Workspace{
			Name: fmt.Sprintf("workspace-%04d", i+1), Owner: owner(i), Weight: float64(max(1, 1000/(i+1))),
		})
	}
}

// addInstance adds an instance in a region and returns its name and IP address. Each
// instance has its own loopback address from 127.1.0.0 up, so that few ports are needed.
func (ge *Generator) addInstance(name string, region, round int) (string, string) {
	zones := ge.zones[region%regions]
	ip := fmt.Sprintf("127.1.%d.%d", ge.instances/250, 1+ge.instances%250)
	ge.instances++
	ge.fl.Instances = append(ge.fl.Instances, citronstream.Instance{Name: "host-" + name, Zone: zones[round%len(zones)], Address: ip})
	return "host-" + name, ip
}

func (ge *Generator) addEntries() {
	for i := range entries {
		name := fmt.Sprintf("entry-%03d", i+1)
		host, ip := ge.addInstance(name, i, i/regions)
		ge.fl.Entries = append(ge.fl.Entries, citronstream.Entry{Name: name, Instance: host, Address: ip + ":21000", Admin: ip + ":21001"})
	}
}
