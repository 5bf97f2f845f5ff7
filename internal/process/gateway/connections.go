package gateway

import "github.com/citronstream/citronstream"

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
		if spec, known := routes.Services[nd.Service]; known {
			return idleConns(&spec, ga.mesh.LiveCount())
		}
	}
	return 1
}

// idleConns returns how many idle connections one of some entries keeps to an upstream:
// half of its share of the connections that the upstream accepts from all of them. Only
// the owner of its queue sends to the upstream of a stage. It may use half of them, as
// there are two owners for a moment when a queue is handed over.
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
