package broker

import (
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/route/regions"
)

// queue identifies a queue of jobs. Jobs that are restricted to some regions have queues of
// their own, with owners and upstreams in these regions only.
type queue struct {
	service string
	regions regions.Set
}

func (qu queue) name() string { return QueueName(qu.service, qu.regions) }

// QueueName returns the name of the queue of a service for jobs that are restricted to some
// regions.
func QueueName(service string, allowed regions.Set) string {
	if allowed == "" {
		return service
	}
	return service + "@" + allowed.String()
}

// WithZones sets the zone of this process and the regions of all zones. Without them no
// zone is in any region.
func WithZones(zone string, zones regions.Zones) Option {
	return func(br *Broker) { br.zone, br.zones = zone, zones }
}

// upstreams returns the upstreams of a queue.
func (br *Broker) upstreams(ms *view.Members, qu queue) []*node.Node {
	nodes := ms.Service(qu.service)
	if qu.regions == "" {
		return nodes
	}
	var allowed []*node.Node
	for _, nd := range nodes {
		if br.zones.Allows(qu.regions, nd.Zone) {
			allowed = append(allowed, nd)
		}
	}
	return allowed
}
