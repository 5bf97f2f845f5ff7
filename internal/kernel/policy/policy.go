// Package policy is the registry of routing policies. A policy registers its
// constructor in init under the name that Service.Policy uses.
package policy

import (
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/registry"
	"github.com/citronstream/citronstream/internal/route/table"
)

// Default is the policy of a service that sets none.
const Default = "nearest"

// MaxHolders is the maximum number of upstreams that Hints returns for a prompt.
const MaxHolders = 4

// Holder is an upstream that is believed to have the first Blocks blocks of
// a prompt in its prefix cache.
type Holder struct {
	Upstream string
	Blocks   int
}

// Hints finds upstreams by the content of their prefix caches.
type Hints interface {
	// Holders returns the upstreams that hold the longest prefixes, and their
	// number. The array is returned by value so that a pick allocates nothing.
	Holders(blocks []uint64) ([MaxHolders]Holder, int)
}

// Outliers receives the outcome of each call.
type Outliers interface {
	Observe(upstream string, cost float64, took time.Duration, err error)
}

// Deps has the dependencies of a policy. Hints and Outliers may be nil.
type Deps struct {
	Table    *table.Table
	Clock    citronstream.Clock
	Seed     uint64
	Hints    Hints
	Outliers Outliers
}

// Constructor creates a policy.
type Constructor func(de Deps) citronstream.Picker

var policies = registry.New[Constructor]("routing policy")

// Register adds a policy. It panics if the name is taken.
func Register(name string, make Constructor) { policies.Register(name, make) }

// Names returns the names of the policies in order.
func Names() []string { return policies.Names() }

// New creates the policy of that name, or Default for an empty name.
func New(name string, de Deps) (citronstream.Picker, error) {
	if name == "" {
		name = Default
	}
	constructor, err := policies.Get(name)
	if err != nil {
		return nil, err
	}
	return constructor(de), nil
}

// Usable reports whether a node may take a call: its state is at most worst,
// it holds the model, and the request doesn't exclude it.
func Usable(nd *table.Node, pr *citronstream.PickRequest, worst table.State) bool {
	if nd.State() > worst {
		return false
	}
	for _, name := range pr.Exclude {
		if name == nd.Name {
			return false
		}
	}
	return nd.Holds(pr.Model)
}
