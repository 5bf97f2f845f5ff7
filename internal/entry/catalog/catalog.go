// Package catalog indexes an accepted configuration for the request path.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/citronstream/citronstream"
)

// Catalog is an immutable index over one version of the configuration.
type Catalog struct {
	Fleet      *citronstream.Fleet
	pipelines  map[string]*citronstream.Pipeline
	services   map[string]*citronstream.Service
	calls      map[callKey]*citronstream.ServiceCall
	workspaces map[string]*citronstream.Workspace
	byToken    map[string]*citronstream.Workspace
	ranks      map[string]int
	order      map[string][][]int
}

type callKey struct{ service, call string }

// New indexes a valid configuration.
func New(fl *citronstream.Fleet) *Catalog {
	ca := &Catalog{
		Fleet: fl, pipelines: map[string]*citronstream.Pipeline{}, services: map[string]*citronstream.Service{},
		calls: map[callKey]*citronstream.ServiceCall{}, workspaces: map[string]*citronstream.Workspace{},
		byToken: map[string]*citronstream.Workspace{}, ranks: map[string]int{}, order: map[string][][]int{},
	}
	for i := range fl.Pipelines {
		pi := &fl.Pipelines[i]
		ca.pipelines[pi.Name] = pi
		ca.order[pi.Name] = inputs(pi)
	}
	for i := range fl.Services {
		se := &fl.Services[i]
		ca.services[se.Name] = se
		for j := range se.Calls {
			ca.calls[callKey{se.Name, se.Calls[j].Name}] = &se.Calls[j]
		}
	}
	for i := range fl.Workspaces {
		ws := &fl.Workspaces[i]
		ca.workspaces[ws.Name] = ws
		if ws.TokenSHA256 != "" {
			ca.byToken[ws.TokenSHA256] = ws
		}
	}
	for i := range fl.Ranks {
		ca.ranks[fl.Ranks[i].Name] = i
	}
	return ca
}

// inputs returns, for each stage, the indexes of the stages whose results it uses.
func inputs(pi *citronstream.Pipeline) [][]int {
	at := make(map[string]int, len(pi.Stages))
	for i := range pi.Stages {
		at[pi.Stages[i].Name] = i
	}
	all := make([][]int, len(pi.Stages))
	for i := range pi.Stages {
		for _, name := range pi.Stages[i].After {
			all[i] = append(all[i], at[name])
		}
		if len(pi.Stages[i].After) == 0 && i > 0 {
			all[i] = []int{i - 1}
		}
	}
	return all
}

// Pipeline returns a pipeline and, for each stage, the indexes of the stages whose
// results it uses.
func (ca *Catalog) Pipeline(name string) (*citronstream.Pipeline, [][]int) {
	return ca.pipelines[name], ca.order[name]
}

// Service returns a service, or nil.
func (ca *Catalog) Service(name string) *citronstream.Service { return ca.services[name] }

// Call returns a call of a service, or nil.
func (ca *Catalog) Call(service, call string) *citronstream.ServiceCall {
	return ca.calls[callKey{service, call}]
}

// Rank returns the index of a rank, and false for an unknown one. An empty name
// means the least urgent rank.
func (ca *Catalog) Rank(name string) (int, bool) {
	if name == "" {
		return len(ca.Fleet.Ranks) - 1, true
	}
	at, ok := ca.ranks[name]
	return at, ok
}

// Deadline returns the deadline of a rank by its index.
func (ca *Catalog) Deadline(rank int) time.Duration { return ca.Fleet.Ranks[rank].Deadline.Std() }

// Workspace authenticates a caller. A token is looked up by its digest, so
// the time of the lookup reveals nothing about a token. Without a token, a caller
// can only use a workspace that has none.
func (ca *Catalog) Workspace(token, name string) (*citronstream.Workspace, bool) {
	if token != "" {
		sum := sha256.Sum256([]byte(token))
		ws, ok := ca.byToken[hex.EncodeToString(sum[:])]
		return ws, ok && (name == "" || name == ws.Name)
	}
	ws, ok := ca.workspaces[name]
	return ws, ok && ws.TokenSHA256 == ""
}
