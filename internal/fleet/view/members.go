package view

import (
	"cmp"
	"slices"

	"github.com/citronstream/citronstream/internal/fleet/node"
)

// Members is an immutable set of upstreams.
type Members struct {
	byID      map[string]*node.Node
	byService map[string][]*node.Node // sorted by ID, without draining ones
	byAddress map[string]*node.Node
}

func newMembers(nodes []*node.Node) *Members {
	ms := &Members{byID: make(map[string]*node.Node), byService: make(map[string][]*node.Node), byAddress: make(map[string]*node.Node)}
	slices.SortFunc(nodes, func(a, b *node.Node) int { return cmp.Compare(a.ID, b.ID) })
	for _, nd := range nodes {
		ms.byID[nd.ID] = nd
		// Of two upstreams with the same address, the one that started later has it.
		if other := ms.byAddress[nd.Address]; other == nil || other.StartedMs < nd.StartedMs {
			ms.byAddress[nd.Address] = nd
		}
		if !nd.Draining {
			ms.byService[nd.Service] = append(ms.byService[nd.Service], nd)
		}
	}
	return ms
}

// Service returns the upstreams of a service that take new work, sorted by ID.
func (ms *Members) Service(name string) []*node.Node { return ms.byService[name] }

// Node returns the upstream with an ID, or nil.
func (ms *Members) Node(id string) *node.Node { return ms.byID[id] }

// At returns the upstream at an address, or nil.
func (ms *Members) At(address string) *node.Node { return ms.byAddress[address] }

// Len returns the number of upstreams.
func (ms *Members) Len() int { return len(ms.byID) }
