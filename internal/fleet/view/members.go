package view

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/citronstream/citronstream/internal/fleet/node"
)

// Members is an immutable set of upstreams.
type Members struct {
	byID      map[string]*node.Node
	byService map[string][]*node.Node // sorted by ID, without those that leave and those of evacuated zones
	evacuees  map[string][]*node.Node // by service: left out of byService only as their zone is evacuated
	byAddress map[string][]*node.Node // the one that started last first
	evacuated []string                // zones, sorted
}

// newMembers returns a set of upstreams. Leaving reports whether an upstream has said that it
// leaves.
func newMembers(nodes []*node.Node, evacuated []string, leaving func(nd *node.Node) bool) *Members {
	ms := &Members{evacuated: evacuated, byID: make(map[string]*node.Node), byService: make(map[string][]*node.Node), evacuees: make(map[string][]*node.Node), byAddress: make(map[string][]*node.Node)}
	slices.SortFunc(nodes, func(a, b *node.Node) int { return cmp.Compare(a.ID, b.ID) })
	for _, nd := range nodes {
		ms.byID[nd.ID] = nd
		ms.byAddress[nd.Address] = append(ms.byAddress[nd.Address], nd)
		switch {
		case nd.Draining || leaving(nd):
		case ms.Evacuated(nd.Zone):
			ms.evacuees[nd.Service] = append(ms.evacuees[nd.Service], nd)
		default:
			ms.byService[nd.Service] = append(ms.byService[nd.Service], nd)
		}
	}
	for _, list := range ms.byAddress {
		slices.SortStableFunc(list, func(a, b *node.Node) int { return cmp.Compare(b.StartedMs, a.StartedMs) })
	}
	return ms
}

// Evacuated reports whether nothing more is to be sent to the upstreams of a zone. Work
// that runs there may end.
func (ms *Members) Evacuated(zone string) bool { return slices.Contains(ms.evacuated, zone) }

// Service returns the upstreams of a service that take new work, sorted by ID.
func (ms *Members) Service(name string) []*node.Node { return ms.byService[name] }

// Evacuees returns the upstreams of a service that would take new work if their zones were not
// evacuated, sorted by ID.
func (ms *Members) Evacuees(service string) []*node.Node { return ms.evacuees[service] }

// TakesWork reports whether an upstream of a service, as it started at a time, takes new work.
func (ms *Members) TakesWork(service, id string, startedMs int64) bool {
	return contains(ms.byService[service], id, startedMs)
}

// WouldTakeWork reports the same for the time in which the load of its evacuated zone moves.
func (ms *Members) WouldTakeWork(service, id string, startedMs int64) bool {
	return contains(ms.evacuees[service], id, startedMs)
}

func contains(list []*node.Node, id string, startedMs int64) bool {
	at, found := slices.BinarySearchFunc(list, id, func(nd *node.Node, id string) int { return cmp.Compare(nd.ID, id) })
	return found && list[at].StartedMs == startedMs
}

// Listed returns the upstreams of a service, those that take no new work included, sorted
// by ID.
func (ms *Members) Listed(service string) (list []*node.Node) {
	for _, nd := range ms.byID {
		if nd.Service == service {
			list = append(list, nd)
		}
	}
	slices.SortFunc(list, func(a, b *node.Node) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Node returns the upstream with an ID, or nil.
func (ms *Members) Node(id string) *node.Node { return ms.byID[id] }

// At returns the upstreams at an address, the one that started last first. There is
// more than one while the row of an ended process is left, and if a row is wrong.
func (ms *Members) At(address string) []*node.Node { return ms.byAddress[address] }

// ServiceAt returns the upstream of a service at an address, or nil.
func (ms *Members) ServiceAt(service, address string) *node.Node {
	for _, nd := range ms.byAddress[address] {
		if nd.Service == service {
			return nd
		}
	}
	return nil
}

// Len returns the number of upstreams.
func (ms *Members) Len() int { return len(ms.byID) }

// All returns all upstreams, also those that take no new work, in any order.
func (ms *Members) All() iter.Seq[*node.Node] { return maps.Values(ms.byID) }
