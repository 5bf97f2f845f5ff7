package check

import (
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
)

// maxStages bounds a pipeline; the largest of the full size has 6 stages.
const maxStages = 32

func (ru *run) pipelineRules() {
	pipelines := ru.fl.Pipelines
	ru.names(len(pipelines), func(i int) place { return item("Pipelines", i) },
		func(i int) string { return pipelines[i].Name })
	for i := range pipelines {
		pi, pl := &pipelines[i], item("Pipelines", i)
		ru.refer(pl, "Rank", "Ranks", "rank", pi.Rank, ru.ranks)
		if len(pi.Stages) == 0 || len(pi.Stages) > maxStages {
			ru.bad(pl, "Stages", "%d stages, want 1 to %d", len(pi.Stages), maxStages)
		}
		at := func(j int) place { return pl.in("Stages", j) }
		index := ru.names(len(pi.Stages), at, func(j int) string { return pi.Stages[j].Name })
		for j := range pi.Stages {
			ru.stage(at(j), pi, j)
			ru.after(at(j), pi, j, index)
		}
		ru.cycle(pl, pi, index)
	}
}

func (ru *run) stage(pl place, pi *citronstream.Pipeline, j int) {
	st := &pi.Stages[j]
	if st.Model != "" {
		ru.refer(pl, "Model", "Models", "model", st.Model, ru.models)
	}
	sv, ok := ru.refer(pl, "Service", "Services", "service", st.Service, ru.services)
	if !ok {
		return
	}
	ca, ok := ru.refer(pl, "Call", "Services", "call of service "+st.Service, st.Call, ru.calls[sv])
	if !ok {
		return
	}
	if !ru.fl.Services[sv].Calls[ca].Idempotent && j < len(pi.Stages)-1 {
		ru.warn(pl, "Call", "%q is not idempotent and runs before a later stage that may fail", st.Call)
	}
	if st.Model != "" && ru.hosted[sv] > 0 && !ru.holds(st.Service, st.Model) {
		ru.warn(pl, "Model", "no upstream of service %q lists model %q", st.Service, st.Model)
	}
}

// holds is true if an upstream of the service lists the model, or lists none
// and so takes whatever it is told to load.
func (ru *run) holds(service, model string) bool {
	return slices.ContainsFunc(ru.fl.Upstreams, func(up citronstream.Upstream) bool {
		return up.Service == service && (len(up.Models) == 0 || slices.Contains(up.Models, model))
	})
}

func (ru *run) after(pl place, pi *citronstream.Pipeline, j int, index map[string]int) {
	after := pi.Stages[j].After
	for k, name := range after {
		field := indexed("After", k)
		target, ok := index[name]
		switch {
		case !ok || name == "":
			ru.bad(pl, field, "unknown stage %q", clip(name))
		case target == j:
			ru.bad(pl, field, "stage %q comes after itself", name)
		case target > j:
			ru.bad(pl, field, "stage %q stands later in the pipeline", name)
		case slices.Contains(after[:k], name):
			ru.bad(pl, field, "duplicate stage %q", name)
		}
	}
}

// cycle reports the first cycle of stages. A stage without After follows the
// one before it.
func (ru *run) cycle(pl place, pi *citronstream.Pipeline, index map[string]int) {
	const (
		unseen = iota
		open
		done
	)
	state := make([]int, len(pi.Stages))
	var trail []string
	var visit func(j int) bool
	visit = func(j int) bool {
		trail = append(trail, pi.Stages[j].Name)
		if state[j] == open {
			return true
		}
		if state[j] == unseen {
			state[j] = open
			for _, before := range befores(pi, j, index) {
				if visit(before) {
					return true
				}
			}
			state[j] = done
		}
		trail = trail[:len(trail)-1]
		return false
	}
	for j := range pi.Stages {
		if visit(j) {
			start := slices.Index(trail, trail[len(trail)-1])
			ru.bad(pl, "Stages", "cycle in After: %s", strings.Join(trail[start:], " after "))
			return
		}
	}
}

// befores returns the stages that stage j waits for. A stage that names
// itself is reported by after.
func befores(pi *citronstream.Pipeline, j int, index map[string]int) []int {
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
