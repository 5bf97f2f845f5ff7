package gateway

import (
	"cmp"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/ingress/flow"
	"github.com/citronstream/citronstream/internal/ingress/server"
)

const (
	// ownMemory is what a gateway holds without callers: the program and its runtime,
	// configuration, links and idle connections (24.6 to 33.1 MB resident in the soak).
	ownMemory = 40 << 20
	// memoryFactor is the resident memory for each byte that callers hold: the heap grows by
	// half between two collections, and parts of it are free but not given back.
	memoryFactor = 2
	// minCallerMemory serves one body of 4 MB and its answer.
	minCallerMemory = 16 << 20
	// outsideHeap is resident memory that the runtime's own limit does not count: pages of
	// the program.
	outsideHeap = 20 << 20
	// fileDescriptors are reserved for files by the platform.
	fileDescriptors = 200
	// One of otherShare descriptors is kept for the store, other gateways and upstreams: 718
	// of the 2,875 on the smallest instances, where links to 99 other gateways take 198. At
	// least minOther of them are.
	otherShare = 4
	minOther   = 40
	// upstreamShare is the part of these, in percent, that requests may use at the same time.
	upstreamShare = 60
	// minPeerLinks and defaultPeerLinks bound the links that peers open, with and without a
	// statement of the descriptors.
	minPeerLinks     = 320
	defaultPeerLinks = 2048
	// defaultBodyStall and defaultReadStall are twice the idle timeout of 15 s, within
	// which callers send again.
	defaultBodyStall = 30 * time.Second
	defaultReadStall = 30 * time.Second
)

// clientLimits returns the limits on callers. Memory with the times, and Connections are 0,
// for no bound, if the settings do not state those of the process.
func clientLimits(site *citronstream.Site) citronstream.ClientLimits {
	li := site.Clients
	if li.Memory == 0 && site.Memory > 0 {
		li.Memory = max(minCallerMemory, (site.Memory-ownMemory)/memoryFactor)
	}
	if sockets := site.Descriptors - fileDescriptors; li.Connections == 0 && site.Descriptors > 0 {
		li.Connections = max(1, sockets-max(minOther, sockets/otherShare))
	}
	if li.Memory == 0 {
		li.BodyStall, li.ReadStall = 0, 0
		return li
	}
	li.BodyStall, li.ReadStall = cmp.Or(li.BodyStall, defaultBodyStall), cmp.Or(li.ReadStall, defaultReadStall)
	return li
}

// maxUpstream returns how many connections to upstreams requests may use at the same time,
// 0 for no bound.
func maxUpstream(site *citronstream.Site) int {
	if site.Descriptors == 0 {
		return 0
	}
	return max(1, (site.Descriptors-fileDescriptors-clientLimits(site).Connections)*upstreamShare/100)
}

// maxPeerLinks returns how many links peers may open: half of the descriptors that are not
// for callers, and as many as fleets of 300 gateways need.
func maxPeerLinks(site *citronstream.Site) int {
	if site.Descriptors == 0 {
		return defaultPeerLinks
	}
	return max(minPeerLinks, (site.Descriptors-fileDescriptors-clientLimits(site).Connections)/2)
}

// MemoryLimit returns the limit of the runtime's memory for a site, 0 for none.
func MemoryLimit(site *citronstream.Site) int64 {
	if site.Memory == 0 {
		return 0
	}
	return int64(max(site.Memory/2, site.Memory-outsideHeap))
}

// Limits of the readiness and metrics addresses. The platform's checks and scrapes use one
// or two connections. Without a bound on the time of a body, 64 stalled ones kept out all
// checks.
const (
	serviceConns      = 64
	serviceHeadBytes  = 12 << 10        // net/http adds 4 KB
	serviceReadTime   = 2 * time.Second // head and body
	serviceIdleTime   = 3 * time.Second
	serviceAnswerTime = 10 * time.Second
)

// boundServer bounds what the clients of a server other than that for callers may hold.
func boundServer(hs *http.Server) {
	hs.MaxHeaderBytes, hs.ReadTimeout = serviceHeadBytes, serviceReadTime
	hs.IdleTimeout, hs.WriteTimeout = serviceIdleTime, serviceAnswerTime
	var open atomic.Int64
	hs.ConnState = func(nc net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			if open.Add(1) > serviceConns {
				_ = nc.Close() // the server then calls this function again
			}
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		case http.StateActive, http.StateIdle:
		}
	}
}

// limitNames are the limits on callers, as the server and the flow name them.
var limitNames = []string{
	server.LimitHeaderBytes, server.LimitHeaderLines, server.LimitHeaderLine, server.LimitMemory, server.LimitConnections,
	flow.LimitBodyBytes, flow.LimitMemory, flow.LimitBodyStall, flow.LimitReadStall, flow.LimitUpstream, flow.LimitShare, flow.LimitEvents,
	mesh.LimitConnections, mesh.LimitGreeting,
}
