package orders

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/route/placement"
	"golang.org/x/time/rate"
)

// job is the engine's part of one configuration version. It never changes.
type job struct {
	version uint64
	placed  bool // the configuration places models, and this upstream is an engine
	role    string
	models  []citronstream.Model // by name
	share   map[string]int       // engines that load each model in this version
	rate    int64                // bytes a second of the weight store
	plan    *placement.Plan
}

// newJob computes the part of an upstream. Old is the job before it, if any.
func newJob(fl *citronstream.Fleet, upstream string, old *job) *job {
	jo := &job{version: fl.Version, share: make(map[string]int), rate: fl.Limits.WeightBytesPerSec}
	if len(fl.Models) == 0 {
		return jo
	}
	jo.plan = placement.New(fl)
	part, ok := jo.plan.Engine(upstream)
	if !ok {
		return jo
	}
	jo.placed, jo.role = true, part.Role
	for _, mo := range fl.Models {
		if slices.Contains(part.Models, mo.Name) {
			jo.models = append(jo.models, mo)
		}
	}
	slices.SortFunc(jo.models, func(a, b citronstream.Model) int { return strings.Compare(a.Name, b.Name) })
	jo.count(fl, old)
	return jo
}

// count finds how many engines share the weight store's rate. It is the
// number that hold the model, or the number that gain any model by this
// version where that is known and larger: several models may move at once.
func (jo *job) count(fl *citronstream.Fleet, old *job) {
	gaining := 0
	for _, up := range fl.Upstreams {
		part, _ := jo.plan.Engine(up.Name)
		gains := false
		for _, model := range part.Models {
			jo.share[model]++
			if old != nil && old.plan != nil {
				before, _ := old.plan.Engine(up.Name)
				gains = gains || !slices.Contains(before.Models, model)
			}
		}
		if gains {
			gaining++
		}
	}
	for model := range jo.share {
		jo.share[model] = max(jo.share[model], gaining)
	}
}

// names returns the models in order.
func (jo *job) names() []string {
	names := make([]string, len(jo.models))
	for i := range jo.models {
		names[i] = jo.models[i].Name
	}
	return names
}

// command gives the engine its part, one model at a time, those that it holds
// first. Each goes through the guard, so that a token is confirmed shortly
// before its command even if the command before it took minutes.
func (or *Orders) command(ctx context.Context, jo *job, loaded []string, token uint64) error {
	if err := or.retire(ctx, jo, loaded); err != nil {
		return err
	}
	held := func(mo *citronstream.Model) bool { return slices.Contains(loaded, mo.Name) }
	var parts []*citronstream.Model
	for _, want := range []bool{true, false} {
		for i := range jo.models {
			if held(&jo.models[i]) == want {
				parts = append(parts, &jo.models[i])
			}
		}
	}
	for _, mo := range parts {
		// After a restart the agent does not know the version of a model that
		// is loaded; it takes it for the current one.
		if version, ok := or.known[mo.Name]; !held(mo) || ok && version != mo.Version {
			if err := or.fetch(ctx, jo, mo); err != nil {
				return err
			}
		}
		if err := or.send(ctx, citronstream.EngineOrder{
			Models: jo.names(), Load: []string{mo.Name}, Adapters: mo.Adapters, Version: mo.Version, Token: token,
		}); err != nil {
			return err
		}
		or.known[mo.Name] = mo.Version
		loaded, err := or.read(ctx)
		if err != nil {
			return err
		}
		or.publish(loaded)
	}
	for model := range or.known {
		if !slices.Contains(jo.names(), model) {
			delete(or.known, model)
		}
	}
	return or.send(ctx, citronstream.EngineOrder{Models: jo.names(), Keep: true, Role: jo.role, Token: token})
}

func (or *Orders) send(ctx context.Context, eo citronstream.EngineOrder) error {
	ctx, cancel := grant.WithTimeout(ctx, or.clk, commandWait)
	defer cancel()
	or.commands.Add(1)
	return or.guard.Order(ctx, or.set.Address, eo)
}

// fetch waits for the model's size in tokens and reads the weights. The
// bucket starts empty: engines that begin together would otherwise fetch
// a full bucket each at once.
func (or *Orders) fetch(ctx context.Context, jo *job, mo *citronstream.Model) error {
	if or.weights == nil {
		return nil
	}
	if size := int(mo.Bytes); size > 0 && jo.rate > 0 {
		now := or.clk.Now()
		bucket := rate.NewLimiter(rate.Limit(float64(jo.rate)/float64(max(1, jo.share[mo.Name]))), size)
		bucket.AllowN(now, size)
		timer := or.clk.NewTimer(bucket.ReserveN(now, size).DelayFrom(now))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.Chan():
		}
	}
	got, err := or.weights.Fetch(ctx, mo.Name)
	if errors.Is(err, citronstream.ErrThrottled) {
		or.throttled.Add(1)
	}
	if err != nil {
		return err
	}
	or.fetches.Add(1)
	or.bytes.Add(uint64(max(0, got)))
	return nil
}

// failure counts a part that the engine did not take. One that a newer
// version has overtaken is no failure.
func (or *Orders) failure(jo *job, token uint64, err error) {
	if or.job.Load() != jo {
		return
	}
	fa := citronstream.FaultOf(err)
	if fa.Code != citronstream.CodeStale {
		or.failed.Add(1)
		return
	}
	or.refused.Add(1)
	or.event("EngineRefused", jo, token, fa.Verdict, fa.Text)
}

func (or *Orders) event(kind string, jo *job, token uint64, ve citronstream.Verdict, text string) {
	if or.rec == nil {
		return
	}
	if text == "" {
		text = strings.Join(jo.names(), ",") + " as " + jo.role
	}
	or.rec.Record(citronstream.Event{
		Kind: kind, Upstream: or.set.Upstream, Verdict: ve.String(),
		Detail: fmt.Sprintf("version %d, token %d: %s", jo.version, token, text),
	})
}
