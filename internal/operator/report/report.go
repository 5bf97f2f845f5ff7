// Package report defines the documents of the operators' HTTP API.
package report

import (
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
)

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Status is the state of one process.
type Status struct {
	Process  string    `json:"Process"`
	Role     string    `json:"Role"`
	Started  time.Time `json:"Started"`
	Version  uint64    `json:"Version"`           // configuration in force, 0 for none
	NotReady string    `json:"NotReady,omitzero"` // reason; empty for a process that is ready
	Leaving  bool      `json:"Leaving,omitempty"`
	InFlight int       `json:"InFlight"` // requests of an entry, calls of an agent
	// Load is set by agents only.
	Load *citronstream.Load `json:"Load,omitempty"`
	// Upstreams is the routing table of an entry.
	Upstreams []Upstream `json:"Upstreams,omitempty"`
	// Agents has the states of the agents that an entry is linked to.
	Agents []Status `json:"Agents,omitempty"`
}

// Upstream is an upstream as an entry sees it.
type Upstream struct {
	Name    string    `json:"Name"`
	Service string    `json:"Service"`
	Zone    string    `json:"Zone"`
	State   string    `json:"State"`
	Cause   string    `json:"Cause,omitempty"` // source that reported a state other than live
	Since   time.Time `json:"Since,omitzero"`
	Linked  bool      `json:"Linked"`
	Load    float64   `json:"Load"`   // corrected load in cost units
	Weight  float64   `json:"Weight"` // 1 unless the upstream is an outlier
}

// Timeline is a list of events in causal order.
type Timeline struct {
	Events []citronstream.Event `json:"Events"`
}

// Config is the accepted configuration of a process.
type Config struct {
	Record version.Record      `json:"Record"`
	Fleet  *citronstream.Fleet `json:"Fleet"`
}

// Apply proposes a fleet as the successor of version Base.
type Apply struct {
	Base  uint64              `json:"Base"`
	Fleet *citronstream.Fleet `json:"Fleet"`
}

// Applied has the version of a configuration that was accepted.
type Applied struct {
	Version uint64 `json:"Version"`
}

// Conflict reports that another change was accepted first. Changes are the
// differences from the winner's document to the refused one.
type Conflict struct {
	Base    uint64         `json:"Base"`
	Winner  version.Record `json:"Winner"`
	Changes []string       `json:"Changes,omitempty"`
}

// LiftHold ends the hold of the request content with a digest.
type LiftHold struct {
	Digest uint64 `json:"Digest"`
}

// LiftedHold has the number of processes that held the content.
type LiftedHold struct {
	Processes int `json:"Processes"`
}

// Doubt is an interval of uncertainty: a dead owner of slots may have run
// idempotency keys in it that have no row. The slots refuse keys that may date
// from the interval until the time in Until.
type Doubt struct {
	Service  string    `json:"Service"`
	Upstream string    `json:"Upstream"` // the dead owner
	Epoch    uint64    `json:"Epoch"`    // of its grant
	From     time.Time `json:"From"`
	To       time.Time `json:"To"`
	Until    time.Time `json:"Until"`
	Slots    int       `json:"Slots"`
}

// LiftDoubt removes an interval from all slots of a service.
type LiftDoubt struct {
	Service  string `json:"Service"`
	Upstream string `json:"Upstream"`
	Epoch    uint64 `json:"Epoch"`
}

// LiftedDoubt has the number of slots that had the interval.
type LiftedDoubt struct {
	Slots int `json:"Slots"`
}

// Drain takes a process out of service. An empty name means the process that
// receives the request.
type Drain struct {
	Name string `json:"Name,omitempty"`
}

// MethodLiftHold is sent from an entry to its agents, with a LiftHold.
const MethodLiftHold = "Admin.Lift"
