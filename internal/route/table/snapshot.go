package table

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// meanTTL is how long picks reuse a group's mean wait.
	meanTTL = 10 * time.Millisecond
	// meanSampleSize bounds the nodes read for a new mean, which delays a request.
	meanSampleSize = 64
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
	// PickCount counts picks, for policies that take the nodes in order or limit
	// the share of a node.
	PickCount atomic.Uint64
}

// Group holds the upstreams of a service in one zone.
type Group struct {
	Zone     string
	Distance time.Duration // one-way delay to another zone of the region
	Nodes    []*Node
	means    [MaxRanks]cachedMean // by rank
}

// cachedMean is a cached mean wait.
type cachedMean struct {
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
// upstreams, in seconds, or +Inf if there is none. The value is cached for
// meanTTL; a new one samples the nodes from offset on.
func (gr *Group) MeanWait(rank int, now time.Time, offset int) float64 {
	cm := &gr.means[rankIndex(rank)]
	due := cm.due.Load()
	if at := now.UnixNano(); at >= due && cm.due.CompareAndSwap(due, at+int64(meanTTL)) {
		cm.wait.Store(math.Float64bits(gr.sampleMeanWait(rank, offset)))
	}
	return math.Float64frombits(cm.wait.Load())
}

func (gr *Group) sampleMeanWait(rank, offset int) float64 {
	sum, seen := 0.0, 0
	for i := range len(gr.Nodes) {
		nd := gr.Nodes[(offset+i)%len(gr.Nodes)]
		if nd.State() != Live {
			continue
		}
		sum += nd.Wait(rank)
		if seen++; seen == meanSampleSize {
			break
		}
	}
	if seen == 0 {
		return math.Inf(1)
	}
	return sum / float64(seen)
}

// build makes a snapshot. liveState returns the live state for an upstream.
func build(fl *citronstream.Fleet, liveState func(*Node) *live) *Snapshot {
	sn := &Snapshot{Version: fl.Version, services: make(map[string]*Service, len(fl.Services)), nodes: make(map[string]*Node, len(fl.Upstreams))}
	region, distance, zone := locations(fl)
	floors := floorsOf(fl.Ranks)
	for _, spec := range fl.Services {
		sn.services[spec.Name] = &Service{Spec: spec, Zones: make(map[string]*Group), Near: make(map[string][]*Group)}
	}
	for _, up := range fl.Upstreams {
		se := sn.services[up.Service]
		if se == nil {
			continue
		}
		nd := &Node{
			Name: up.Name, Service: up.Service, Zone: zone[up.Instance], Region: region[zone[up.Instance]],
			Instance: up.Instance, Agent: up.Agent, Capacity: up.Capacity, Allowed: up.Models, floors: floors,
		}
		nd.live = liveState(nd)
		sn.nodes[nd.Name] = nd
		se.Nodes = append(se.Nodes, nd)
		gr := se.Zones[nd.Zone]
		if gr == nil {
			gr = &Group{Zone: nd.Zone, Distance: distance[nd.Zone]}
			se.Zones[nd.Zone] = gr
		}
		gr.Nodes = append(gr.Nodes, nd)
	}
	for _, se := range sn.services {
		se.fillNear(fl)
	}
	return sn
}

func floorsOf(ranks []citronstream.Rank) *[MaxRanks]float64 {
	floors := new([MaxRanks]float64)
	for rank, ra := range ranks {
		floors[rankIndex(rank)] += min(max(ra.Floor, 0), 1)
	}
	return floors
}

// fillNear fills Near for every zone of the fleet, in the order of the configuration.
func (se *Service) fillNear(fl *citronstream.Fleet) {
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

func locations(fl *citronstream.Fleet) (region map[string]string, distance map[string]time.Duration, zone map[string]string) {
	region, distance, zone = make(map[string]string), make(map[string]time.Duration), make(map[string]string)
	for _, re := range fl.Regions {
		for _, zo := range re.Zones {
			region[zo.Name], distance[zo.Name] = re.Name, zo.Distance.Std()
		}
	}
	for _, inst := range fl.Instances {
		zone[inst.Name] = inst.Zone
	}
	return region, distance, zone
}
