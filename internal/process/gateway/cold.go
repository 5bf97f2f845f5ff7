package gateway

import (
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/coldrate"
)

// listInterval is how often the list of gateways is read while this process may not send
// to cold upstreams, as it does not know the others.
const listInterval = 2 * time.Second

// serviceSpec returns the settings of a service, the zero value of unknown ones.
func (ga *Gateway) serviceSpec(service string) citronstream.ServiceSpec {
	if routes := ga.view.Routes(); routes != nil {
		return routes.Services[service]
	}
	return citronstream.ServiceSpec{}
}

// turnsCold reports whether the rate of cold upstreams is bounded for any service.
func (ga *Gateway) turnsCold() bool {
	if routes := ga.view.Routes(); routes != nil {
		for _, spec := range routes.Services {
			if spec.ColdRate > 0 {
				return true
			}
		}
	}
	return false
}

// coldChanged logs a change of an upstream's state.
func (ga *Gateway) coldChanged(ch coldrate.Change) {
	text := "upstream warm"
	if ch.Cold {
		text = "upstream cold"
	}
	ga.log.Info(text, "upstream", ch.Upstream, "service", ch.Service, "source", ch.Source, "left", ch.Left.String())
}

// sweepCold tells the limiter which gateways are known and ends cold times that have passed.
func (ga *Gateway) sweepCold() {
	var known []string
	for _, pe := range ga.mesh.Peers() {
		if pe.Boot() != "" {
			known = append(known, pe.Address)
		}
	}
	ga.cold.Gateways(known)
	ga.cold.Sweep()
	if now := ga.clk.Now(); ga.turnsCold() && ga.cold.MayList() && now.Sub(ga.listAsked) >= listInterval {
		ga.listAsked = now
		ga.discovery.Refresh()
	}
}
