package gateway

import (
	"slices"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/limit/connshare"
)

// besideBatches is how many connections the owner of a queue keeps to an upstream beside
// those of its batches: the results of several jobs are released at the same moment, while
// the upstream works on its next batch.
const besideBatches = 3

// maxIdleConns returns how many idle connections to an upstream this process keeps.
func (ga *Gateway) maxIdleConns(address string) int {
	routes := ga.view.Routes()
	if routes == nil {
		return 1
	}
	for _, nd := range ga.view.Members().At(address) {
		spec, known := routes.Services[nd.Service]
		if !known {
			continue
		}
		if !spec.Engine && spec.Batch == nil && spec.MaxConnections > 0 {
			return ga.connectionLimit(&spec, nd)
		}
		return idleConns(&spec, ga.mesh.LiveCount())
	}
	return 1
}

// connectionLimit returns how many connections to a plain upstream this process may use, see
// package connshare. As many idle ones are kept, so that requests find one that is open.
func (ga *Gateway) connectionLimit(spec *citronstream.ServiceSpec, nd *node.Node) int {
	live := []string{ga.site.Peers}
	for _, pe := range ga.mesh.Peers() {
		if pe.Up() {
			live = append(live, pe.Address)
		}
	}
	members := ga.view.Members()
	var upstreams []string
	// Some requests still go to evacuated zones, whose load moves.
	for _, other := range slices.Concat(members.Service(spec.Name), members.Evacuees(spec.Name)) {
		upstreams = append(upstreams, other.ID)
	}
	return connshare.Limits(spec.MaxConnections, upstreams, ga.site.Peers, live)[nd.ID]
}

// idleConns returns how many idle connections one of some entries keeps to an engine or an
// upstream of a stage: half of its share of the connections that the upstream accepts from all
// of them. Only the owner of its queue sends to the upstream of a stage. It may use half of
// them, as there are two owners for a moment when a queue is handed over.
func idleConns(spec *citronstream.ServiceSpec, entries int) int {
	share := max(1, spec.MaxConnections/(2*entries))
	if spec.Batch == nil {
		return share
	}
	needs := max(1, spec.Batch.Calls) + besideBatches
	if spec.MaxConnections > 0 {
		needs = min(needs, spec.MaxConnections/2)
	}
	return max(share, needs)
}
