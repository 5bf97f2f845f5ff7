// Package placement computes which models an engine holds and which role it
// has, from the accepted configuration alone. Each agent computes its own part;
// the same fleet gives the same placement in every process.
package placement

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
)

// maxImbalance is the ratio by which the number of models on an engine may exceed
// the even share. Rendezvous hashing alone leaves some engines with far more
// models than others; models beyond the limit go to their next engine.
const maxImbalance = 1.25

// RoleServe is the role of an engine that holds at least one model, RoleSpare
// that of one without.
const (
	RoleServe = "serve"
	RoleSpare = "spare"
)

// Engine is the placement of one engine.
type Engine struct {
	Models   []string // in order
	Adapters []string // of these models, in order
	Role     string
}

// Plan is the placement of a fleet.
type Plan struct {
	Version uint64
	engines map[string]Engine
	missing map[string]int
}

// Engine returns the placement of an upstream, or false if it is not an engine.
func (pl *Plan) Engine(upstream string) (Engine, bool) {
	en, ok := pl.engines[upstream]
	return en, ok
}

// Len returns the number of engines.
func (pl *Plan) Len() int { return len(pl.engines) }

// MissingReplicas returns, by model, the number of replicas that no engine can
// hold. It is empty if every model has its replicas.
func (pl *Plan) MissingReplicas() map[string]int { return pl.missing }

// candidate is an engine with its hash score for one model.
type candidate struct {
	name  string
	score uint64
}

// New computes the placement. A model with Replicas 0 goes to all engines
// that allow it. Other models take the engines with the highest hash of engine
// and model, skipping those at the limit of models. If too few are below
// the limit, it is exceeded so that the model has its replicas.
func New(fl *citronstream.Fleet) *Plan {
	pl := &Plan{Version: fl.Version, engines: make(map[string]Engine), missing: make(map[string]int)}
	allowed := allowedModels(fl)
	limit := modelLimit(fl.Models, len(allowed))
	held := make(map[string][]string, len(allowed))
	load := make(map[string]int, len(allowed))
	models := slices.Clone(fl.Models)
	// Sorted, so that the order in the configuration has no effect.
	slices.SortFunc(models, func(a, b citronstream.Model) int { return cmp.Compare(a.Name, b.Name) })
	for _, mo := range models {
		ranked := orderEngines(mo.Name, allowed)
		if mo.Replicas == 0 {
			for _, ca := range ranked {
				held[ca.name] = append(held[ca.name], mo.Name)
			}
			continue
		}
		chosen := choose(ranked, mo.Replicas, func(name string) bool { return load[name] < limit })
		for _, name := range chosen {
			held[name] = append(held[name], mo.Name)
			load[name]++
		}
		if missing := mo.Replicas - len(chosen); missing > 0 {
			pl.missing[mo.Name] = missing
		}
	}
	adapters := make(map[string][]string, len(models))
	for _, mo := range models {
		adapters[mo.Name] = mo.Adapters
	}
	for name := range allowed {
		en := Engine{Models: held[name], Role: RoleServe}
		if len(en.Models) == 0 {
			en.Role = RoleSpare
		}
		for _, model := range en.Models {
			en.Adapters = append(en.Adapters, adapters[model]...)
		}
		slices.Sort(en.Adapters)
		en.Adapters = slices.Compact(en.Adapters)
		pl.engines[name] = en
	}
	return pl
}

// allowedModels returns the allowed models of each engine; an empty list allows all.
func allowedModels(fl *citronstream.Fleet) map[string][]string {
	isEngine := make(map[string]bool)
	for _, se := range fl.Services {
		isEngine[se.Name] = se.Kind == citronstream.KindEngine
	}
	allowed := make(map[string][]string)
	for _, up := range fl.Upstreams {
		if isEngine[up.Service] {
			allowed[up.Name] = up.Models
		}
	}
	return allowed
}

// modelLimit is the largest number of models on an engine, not counting those
// that all engines hold. It is rounded up to a power of two, so that adding or
// removing an engine rarely changes it: a change moves models on every engine.
func modelLimit(models []citronstream.Model, count int) int {
	if count == 0 {
		return 0
	}
	replicas := 0
	for _, mo := range models {
		replicas += min(mo.Replicas, count)
	}
	most := 1
	for float64(most) < maxImbalance*float64(replicas)/float64(count) {
		most *= 2
	}
	return most
}

// orderEngines orders the engines that allow a model by rendezvous hashing, best first.
func orderEngines(model string, allowed map[string][]string) []candidate {
	var ranked []candidate
	for name, models := range allowed {
		if len(models) == 0 || slices.Contains(models, model) {
			ranked = append(ranked, candidate{name, score(name, model)})
		}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	return ranked
}

func score(engine, model string) uint64 {
	var sums [16]byte
	binary.LittleEndian.PutUint64(sums[:8], xxhash.Sum64String(engine))
	binary.LittleEndian.PutUint64(sums[8:], xxhash.Sum64String(model))
	return xxhash.Sum64(sums[:])
}

// choose takes candidates in order, those below the limit first.
func choose(ranked []candidate, count int, free func(string) bool) []string {
	var chosen, full []string
	for _, ca := range ranked {
		if len(chosen) == count {
			return chosen
		}
		if free(ca.name) {
			chosen = append(chosen, ca.name)
		} else {
			full = append(full, ca.name)
		}
	}
	return append(chosen, full[:min(len(full), count-len(chosen))]...)
}
