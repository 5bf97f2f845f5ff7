package table

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// meanFor is how long picks reuse a group's mean wait.
	meanFor = 10 * time.Millisecond
	// meanSample bounds the nodes read for a new mean, which delays a request.
	meanSample = 64
)

// Snapshot is a view of the fleet. Only the live state of its nodes changes.
type Snapshot struct {
	Version  uint64
	services map[string]*Service
	nodes    map[string]*Node
}

// Service is a service of a snapshot.
type Service struct {
	Spec  citronstream.Service
	Nodes []*Node
	Zones map[string]*Group // by zone name
	// Near lists, by zone name, the groups of the other zones in the same region.
	Near map[string][]*Group
	// Turn counts picks, for policies that take the nodes in order or limit
	// the share of a node.
	Turn atomic.Uint64
}

// Group holds the upstreams of a service in one zone.
type Group struct {
	Zone     string
	Distance time.Duration // one-way delay to another zone of the region
	Nodes    []*Node
	means    [MaxRanks]mean // by rank
}

// mean is a cached mean wait.
type mean struct {
	wait atomic.Uint64 // float64 bits, seconds
	due  atomic.Int64  // nanoseconds since 1970
}

// Service returns a service by name, or nil.
func (sn *Snapshot) Service(name string) *Service { return sn.services[name] }

// Node returns an upstream by name, or nil.
func (sn *Snapshot) Node(name string) *Node { return sn.nodes[name] }

// Len returns the number of upstreams.
func (sn *Snapshot) Len() int { return len(sn.nodes) }

// Each calls visit with every service, in no order.
func (sn *Snapshot) Each(visit func(*Service)) {
	for _, se := range sn.services {
		visit(se)
	}
}

// MeanWait returns the mean wait of a call of the rank at the group's live
// upstreams, in seconds, or +Inf if there is none. The value is cached; a new
// one samples the nodes from offset on.
func (gr *Group) MeanWait(rank int, now time.Time, offset int) float64 {
	me := &gr.means[class(rank)]
	due := me.due.Load()
	if at := now.UnixNano(); at >= due && me.due.CompareAndSwap(due, at+int64(meanFor)) {
		me.wait.Store(math.Float64bits(gr.sample(rank, offset)))
	}
	return math.Float64frombits(me.wait.Load())
}

func (gr *Group) sample(rank, offset int) float64 {
	sum, seen := 0.0, 0
	for i := range len(gr.Nodes) {
		no := gr.Nodes[(offset+i)%len(gr.Nodes)]
		if no.State() != Live {
			continue
		}
		sum += no.Wait(rank)
		if seen++; seen == meanSample {
			break
		}
	}
	if seen == 0 {
		return math.Inf(1)
	}
	return sum / float64(seen)
}

// build makes a snapshot. keep returns the live state for an upstream.
func build(fl *citronstream.Fleet, keep func(*Node) *live) *Snapshot {
	sn := &Snapshot{Version: fl.Version, services: make(map[string]*Service, len(fl.Services)), nodes: make(map[string]*Node, len(fl.Upstreams))}
	region, distance, zone := places(fl)
	floors := floorsOf(fl.Ranks)
	for _, spec := range fl.Services {
		sn.services[spec.Name] = &Service{Spec: spec, Zones: make(map[string]*Group), Near: make(map[string][]*Group)}
	}
	for _, up := range fl.Upstreams {
		se := sn.services[up.Service]
		if se == nil {
			continue
		}
		no := &Node{
			Name: up.Name, Service: up.Service, Zone: zone[up.Instance], Region: region[zone[up.Instance]],
			Instance: up.Instance, Agent: up.Agent, Capacity: up.Capacity, Allowed: up.Models, floors: floors,
		}
		no.live = keep(no)
		sn.nodes[no.Name] = no
		se.Nodes = append(se.Nodes, no)
		gr := se.Zones[no.Zone]
		if gr == nil {
			gr = &Group{Zone: no.Zone, Distance: distance[no.Zone]}
			se.Zones[no.Zone] = gr
		}
		gr.Nodes = append(gr.Nodes, no)
	}
	for _, se := range sn.services {
		se.connect(fl)
	}
	return sn
}

func floorsOf(ranks []citronstream.Rank) *[MaxRanks]float64 {
	floors := new([MaxRanks]float64)
	for rank, ra := range ranks {
		floors[class(rank)] += min(max(ra.Floor, 0), 1)
	}
	return floors
}

// connect fills Near for every zone of the fleet, in the order of the configuration.
func (se *Service) connect(fl *citronstream.Fleet) {
	for _, re := range fl.Regions {
		for _, from := range re.Zones {
			for _, to := range re.Zones {
				if gr := se.Zones[to.Name]; gr != nil && to.Name != from.Name {
					se.Near[from.Name] = append(se.Near[from.Name], gr)
				}
			}
		}
	}
}

func places(fl *citronstream.Fleet) (region map[string]string, distance map[string]time.Duration, zone map[string]string) {
	region, distance, zone = make(map[string]string), make(map[string]time.Duration), make(map[string]string)
	for _, re := range fl.Regions {
		for _, zo := range re.Zones {
			region[zo.Name], distance[zo.Name] = re.Name, zo.Distance.Std()
		}
	}
	for _, in := range fl.Instances {
		zone[in.Name] = in.Zone
	}
	return region, distance, zone
}
