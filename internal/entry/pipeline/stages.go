package pipeline

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/entry/stagebody"
	"github.com/citronstream/citronstream/internal/limit/retrybudget"
)

// execution is one run of a pipeline.
type execution struct {
	ru        *Runner
	ca        *catalog.Catalog
	pi        *citronstream.Pipeline
	rq        Request
	bu        *stagebody.Builder
	sink      func([]byte)
	budget    *retrybudget.Request
	deadline  time.Time
	remaining []time.Duration // estimated time of each stage and all later ones
	results   []Outcome
	done      []chan struct{}
}

// estimate adds up the expected times of the stages from the last to the first.
func (ex *execution) estimate() {
	ex.remaining = make([]time.Duration, len(ex.pi.Stages)+1)
	for i := len(ex.pi.Stages) - 1; i >= 0; i-- {
		st := &ex.pi.Stages[i]
		ex.remaining[i] = ex.remaining[i+1]
		if ex.ru.times != nil {
			ex.remaining[i] += ex.ru.times.P50(st.Service, cost(ex.ca.Call(st.Service, st.Call)))
		}
	}
}

// run runs all stages. The stages of a chain run on this goroutine: a goroutine for
// each would add a context switch per stage.
func (ex *execution) run(ctx context.Context, cancel func(), after [][]int) {
	for i := range ex.done {
		ex.done[i] = make(chan struct{})
	}
	if isChain(after) {
		for i := range after {
			ex.stage(ctx, cancel, i, after[i])
		}
		return
	}
	var wg sync.WaitGroup
	for i := range after {
		wg.Go(func() { ex.stage(ctx, cancel, i, after[i]) })
	}
	wg.Wait()
}

// isChain reports whether each stage uses the result of the one before it.
func isChain(after [][]int) bool {
	for i := 1; i < len(after); i++ {
		if !slices.Contains(after[i], i-1) {
			return false
		}
	}
	return true
}

// stage waits for the stages whose results it uses and runs. A stage that fails
// cancels the other ones.
func (ex *execution) stage(ctx context.Context, cancel func(), stage int, after []int) {
	defer close(ex.done[stage])
	var earlier []stagebody.Result
	for _, from := range after {
		<-ex.done[from]
		if ex.results[from].Fault != nil {
			ex.results[stage] = refused(citronstream.NotRun, citronstream.CodeCanceled, "stage %s failed", ex.pi.Stages[from].Name)
			return
		}
		earlier = append(earlier, stagebody.Result{Stage: ex.pi.Stages[from].Name, Body: ex.results[from].Body})
	}
	ex.results[stage] = ex.call(ctx, stage, earlier)
	if ex.results[stage].Fault != nil {
		cancel()
	}
}

func (ex *execution) call(ctx context.Context, stage int, earlier []stagebody.Result) Outcome {
	st := &ex.pi.Stages[stage]
	sc := ex.ca.Call(st.Service, st.Call)
	body, err := ex.bu.Build(ex.ca.Service(st.Service).Kind, st.Model, earlier)
	if err != nil {
		return Outcome{Fault: citronstream.FaultOf(err)}
	}
	last := stage == len(ex.pi.Stages)-1
	ca := citronstream.Call{
		RequestID: ex.rq.ID, Workspace: ex.rq.Workspace.Name, Owner: ex.rq.Workspace.Owner, Rank: ex.rq.Rank,
		Pipeline: ex.pi.Name, Stage: st.Name, Service: st.Service, Call: st.Call, Path: sc.Path, Model: st.Model,
		Idempotent: sc.Idempotent, Streams: sc.Streams && last && ex.sink != nil,
		After: ex.remaining[stage+1], Body: body, Digest: citronstream.Digest(body), Trace: ex.rq.Trace, RequestAt: ex.rq.At,
	}
	estimateCost(&ca, sc, ex.bu.MaxTokens())
	if !sc.Idempotent {
		ca.Key, ca.KeyGiven = ex.rq.Key+"/"+st.Name, ex.rq.KeyGiven
	}
	att := &attempts{ru: ex.ru, budget: ex.budget, deadline: ex.deadline.Add(-ex.remaining[stage+1])}
	var sink func([]byte)
	if ca.Streams {
		sink = ex.sink
	}
	return att.run(ctx, ca, sink)
}

// outcome combines the stages' results: the last stage's answer and the total usage.
func (ex *execution) outcome() Outcome {
	out := ex.results[len(ex.results)-1]
	var usage citronstream.Usage
	ran := false
	for i := range ex.results {
		re := &ex.results[i]
		usage.TokensIn += re.Usage.TokensIn
		usage.TokensOut += re.Usage.TokensOut
		usage.Busy += re.Usage.Busy
		usage.Cost += re.Usage.Cost
		ran = ran || citronstream.VerdictOf(faultError(re.Fault)) != citronstream.NotRun
		if re.Fault != nil && re.Fault.Code != citronstream.CodeCanceled && (out.Fault == nil || out.Fault.Code == citronstream.CodeCanceled) {
			out.Fault = re.Fault
		}
	}
	out.Usage = usage
	if out.Fault != nil && out.Fault.Verdict == citronstream.NotRun && ran {
		// An earlier stage ran, so the request as a whole did run in part.
		fa := *out.Fault
		fa.Verdict = citronstream.MayHaveRun
		out.Fault = &fa
	}
	return out
}

func faultError(fa *citronstream.Fault) error {
	if fa == nil {
		return nil
	}
	return fa
}
