// Package policy keeps the routing policies. A policy is a constructor over
// the routing table; it registers itself in init under the name that
// Service.Policy uses.
package policy

import (
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/registry"
	"github.com/citronstream/citronstream/internal/route/table"
)

// Default is the policy of a service that names none.
const Default = "nearest"

// MaxHolders is the most upstreams that Hints names for one prompt.
const MaxHolders = 4

// Holder is an upstream that is believed to have the first Blocks blocks of
// a prompt in its prefix cache.
type Holder struct {
	Upstream string
	Blocks   int
}

// Hints is the prefix-cache affinity that a policy may use.
type Hints interface {
	// Holders returns the upstreams that hold the longest prefixes, and their
	// number. The array is returned by value so that a pick allocates nothing.
	Holders(blocks []uint64) ([MaxHolders]Holder, int)
}

// Outliers is told the outcome of calls.
type Outliers interface {
	Observe(upstream string, cost float64, took time.Duration, err error)
}

// Deps is what a policy is built over. Hints and Outliers may be nil.
type Deps struct {
	Table    *table.Table
	Clock    citronstream.Clock
	Seed     uint64
	Hints    Hints
	Outliers Outliers
}

// Constructor makes a policy.
type Constructor func(de Deps) citronstream.Picker

var policies = registry.New[Constructor]("routing policy")

// Register adds a policy. It panics on a second one of the same name.
func Register(name string, make Constructor) { policies.Register(name, make) }

// Names returns the names of the policies in order.
func Names() []string { return policies.Names() }

// New makes the policy of that name, or Default for an empty name.
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
func Usable(no *table.Node, pr *citronstream.PickRequest, worst table.State) bool {
	if no.State() > worst {
		return false
	}
	for _, name := range pr.Exclude {
		if name == no.Name {
			return false
		}
	}
	return no.Holds(pr.Model)
}
