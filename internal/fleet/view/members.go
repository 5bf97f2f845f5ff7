package view

import (
	"cmp"
	"slices"

	"github.com/citronstream/citronstream/internal/fleet/node"
)

// Members is an unchanging set of upstreams.
type Members struct {
	byID      map[string]*node.Node
	byService map[string][]*node.Node // in the order of their IDs, without draining ones
	byAddress map[string]*node.Node
}

func newMembers(nodes []*node.Node) *Members {
	me := &Members{byID: make(map[string]*node.Node), byService: make(map[string][]*node.Node), byAddress: make(map[string]*node.Node)}
	slices.SortFunc(nodes, func(a, b *node.Node) int { return cmp.Compare(a.ID, b.ID) })
	for _, no := range nodes {
		me.byID[no.ID] = no
		// Of two entries with one address the later start holds it.
		if other := me.byAddress[no.Address]; other == nil || other.StartedMs < no.StartedMs {
			me.byAddress[no.Address] = no
		}
		if !no.Draining {
			me.byService[no.Service] = append(me.byService[no.Service], no)
		}
	}
	return me
}

// Service returns the upstreams of a service that take new work, in a fixed order.
func (me *Members) Service(name string) []*node.Node { return me.byService[name] }

// Node returns the upstream of an ID, nil when it isn't listed.
func (me *Members) Node(id string) *node.Node { return me.byID[id] }

// At returns the upstream that holds an address, nil when none is listed.
func (me *Members) At(address string) *node.Node { return me.byAddress[address] }

// Len returns the number of upstreams.
func (me *Members) Len() int { return len(me.byID) }
