package check

import (
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
)

// maxStages bounds a pipeline. The longest at full size has 6 stages.
const maxStages = 32

func (ru *run) pipelineRules() {
	pipelines := ru.fl.Pipelines
	ru.checkNames(len(pipelines), func(i int) location { return element("Pipelines", i) },
		func(i int) string { return pipelines[i].Name })
	for i := range pipelines {
		pi, loc := &pipelines[i], element("Pipelines", i)
		ru.resolve(loc, "Rank", "Ranks", "rank", pi.Rank, ru.ranks)
		if len(pi.Stages) == 0 || len(pi.Stages) > maxStages {
			ru.faultf(loc, "Stages", "%d stages, want 1 to %d", len(pi.Stages), maxStages)
		}
		at := func(j int) location { return loc.child("Stages", j) }
		index := ru.checkNames(len(pi.Stages), at, func(j int) string { return pi.Stages[j].Name })
		for j := range pi.Stages {
			ru.stage(at(j), pi, j)
			ru.after(at(j), pi, j, index)
		}
		ru.cycle(loc, pi, index)
	}
}

func (ru *run) stage(loc location, pi *citronstream.Pipeline, j int) {
	st := &pi.Stages[j]
	if st.Model != "" {
		ru.resolve(loc, "Model", "Models", "model", st.Model, ru.models)
	}
	sv, ok := ru.resolve(loc, "Service", "Services", "service", st.Service, ru.services)
	if !ok {
		return
	}
	ca, ok := ru.resolve(loc, "Call", "Services", "call of service "+st.Service, st.Call, ru.calls[sv])
	if !ok {
		return
	}
	if !ru.fl.Services[sv].Calls[ca].Idempotent && j < len(pi.Stages)-1 {
		ru.warnf(loc, "Call", "%q is not idempotent and runs before a later stage that may fail", st.Call)
	}
	if st.Model != "" && ru.upstreamCounts[sv] > 0 && !ru.servesModel(st.Service, st.Model) {
		ru.warnf(loc, "Model", "no upstream of service %q lists model %q", st.Service, st.Model)
	}
}

// servesModel is true if an upstream of the service lists the model, or lists none and
// can load any model.
func (ru *run) servesModel(service, model string) bool {
	return slices.ContainsFunc(ru.fl.Upstreams, func(up citronstream.Upstream) bool {
		return up.Service == service && (len(up.Models) == 0 || slices.Contains(up.Models, model))
	})
}

func (ru *run) after(loc location, pi *citronstream.Pipeline, j int, index map[string]int) {
	after := pi.Stages[j].After
	for k, name := range after {
		field := indexed("After", k)
		target, ok := index[name]
		switch {
		case !ok || name == "":
			ru.faultf(loc, field, "unknown stage %q", truncate(name))
		case target == j:
			ru.faultf(loc, field, "stage %q comes after itself", name)
		case target > j:
			ru.faultf(loc, field, "stage %q comes later in the pipeline", name)
		case slices.Contains(after[:k], name):
			ru.faultf(loc, field, "duplicate stage %q", name)
		}
	}
}

// cycle reports the first cycle of stages. A stage without After follows the previous
// one.
func (ru *run) cycle(loc location, pi *citronstream.Pipeline, index map[string]int) {
	const (
		unvisited = iota
		inProgress
		done
	)
	state := make([]int, len(pi.Stages))
	var path []string
	var visit func(j int) bool
	visit = func(j int) bool {
		path = append(path, pi.Stages[j].Name)
		if state[j] == inProgress {
			return true
		}
		if state[j] == unvisited {
			state[j] = inProgress
			for _, previous := range predecessors(pi, j, index) {
				if visit(previous) {
					return true
				}
			}
			state[j] = done
		}
		path = path[:len(path)-1]
		return false
	}
	for j := range pi.Stages {
		if visit(j) {
			start := slices.Index(path, path[len(path)-1])
			ru.faultf(loc, "Stages", "cycle in After: %s", strings.Join(path[start:], " after "))
			return
		}
	}
}

// predecessors returns the stages that stage j waits for. It skips j itself, which
// after reports.
func predecessors(pi *citronstream.Pipeline, j int, index map[string]int) []int {
	after := pi.Stages[j].After
	if len(after) == 0 && j > 0 {
		return []int{j - 1}
	}
	var list []int
	for _, name := range after {
		if target, ok := index[name]; ok && target != j {
			list = append(list, target)
		}
	}
	return list
}
