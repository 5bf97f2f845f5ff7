package reconcile

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

// target is what one configuration version requires of the engine. It is
// immutable.
type target struct {
	version uint64
	placed  bool // the configuration places models, and this upstream is an engine
	role    string
	models  []citronstream.Model // sorted by name
	loaders map[string]int       // number of engines that share the weight store's rate, by model
	rate    int64                // bytes per second of the weight store
	plan    *placement.Plan
}

// newTarget computes the target of an upstream. Old is the target before it, if
// any.
func newTarget(fl *citronstream.Fleet, upstream string, old *target) *target {
	ta := &target{version: fl.Version, loaders: make(map[string]int), rate: fl.Limits.WeightBytesPerSec}
	if len(fl.Models) == 0 {
		return ta
	}
	ta.plan = placement.New(fl)
	part, ok := ta.plan.Engine(upstream)
	if !ok {
		return ta
	}
	ta.placed, ta.role = true, part.Role
	for _, mo := range fl.Models {
		if slices.Contains(part.Models, mo.Name) {
			ta.models = append(ta.models, mo)
		}
	}
	slices.SortFunc(ta.models, func(a, b citronstream.Model) int { return strings.Compare(a.Name, b.Name) })
	ta.countLoaders(fl, old)
	return ta
}

// countLoaders counts how many engines share the weight store's rate. It is
// the number of engines with the model or, if known and larger, the number of
// engines that gain any model in this version: several models may move at once.
func (ta *target) countLoaders(fl *citronstream.Fleet, old *target) {
	gaining := 0
	for _, up := range fl.Upstreams {
		part, _ := ta.plan.Engine(up.Name)
		gains := false
		for _, model := range part.Models {
			ta.loaders[model]++
			if old != nil && old.plan != nil {
				before, _ := old.plan.Engine(up.Name)
				gains = gains || !slices.Contains(before.Models, model)
			}
		}
		if gains {
			gaining++
		}
	}
	for model := range ta.loaders {
		ta.loaders[model] = max(ta.loaders[model], gaining)
	}
}

// modelNames returns the names of the models, sorted.
func (ta *target) modelNames() []string {
	names := make([]string, len(ta.models))
	for i := range ta.models {
		names[i] = ta.models[i].Name
	}
	return names
}

// command brings the engine to its target, one model at a time, loaded models
// first. Each command goes through the guard, so that its token is confirmed just
// before it even if the previous command took minutes.
func (rc *Reconciler) command(ctx context.Context, ta *target, loaded []string, token uint64) error {
	if err := rc.drainModels(ctx, ta, loaded); err != nil {
		return err
	}
	held := func(mo *citronstream.Model) bool { return slices.Contains(loaded, mo.Name) }
	var parts []*citronstream.Model
	for _, want := range []bool{true, false} {
		for i := range ta.models {
			if held(&ta.models[i]) == want {
				parts = append(parts, &ta.models[i])
			}
		}
	}
	for _, mo := range parts {
		// After a restart the agent does not know the version of a loaded
		// model and assumes the current one.
		if version, ok := rc.commanded[mo.Name]; !held(mo) || ok && version != mo.Version {
			if err := rc.fetch(ctx, ta, mo); err != nil {
				return err
			}
		}
		if err := rc.send(ctx, citronstream.EngineOrder{
			Models: ta.modelNames(), Load: []string{mo.Name}, Adapters: mo.Adapters, Version: mo.Version, Token: token,
		}); err != nil {
			return err
		}
		rc.commanded[mo.Name] = mo.Version
		loaded, err := rc.read(ctx)
		if err != nil {
			return err
		}
		rc.publish(loaded)
	}
	for model := range rc.commanded {
		if !slices.Contains(ta.modelNames(), model) {
			delete(rc.commanded, model)
		}
	}
	return rc.send(ctx, citronstream.EngineOrder{Models: ta.modelNames(), Keep: true, Role: ta.role, Token: token})
}

func (rc *Reconciler) send(ctx context.Context, eo citronstream.EngineOrder) error {
	ctx, cancel := grant.WithTimeout(ctx, rc.clk, commandTimeout)
	defer cancel()
	rc.commands.Add(1)
	return rc.guard.Order(ctx, rc.set.Address, eo)
}

// fetch waits for the rate limit of the weight store and reads the weights. The
// token bucket holds the model's size and starts empty: engines that start
// together would otherwise each fetch a full bucket at once.
func (rc *Reconciler) fetch(ctx context.Context, ta *target, mo *citronstream.Model) error {
	if rc.weights == nil {
		return nil
	}
	if size := int(mo.Bytes); size > 0 && ta.rate > 0 {
		now := rc.clk.Now()
		bucket := rate.NewLimiter(rate.Limit(float64(ta.rate)/float64(max(1, ta.loaders[mo.Name]))), size)
		bucket.AllowN(now, size)
		timer := rc.clk.NewTimer(bucket.ReserveN(now, size).DelayFrom(now))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.Chan():
		}
	}
	got, err := rc.weights.Fetch(ctx, mo.Name)
	if errors.Is(err, citronstream.ErrThrottled) {
		rc.throttled.Add(1)
	}
	if err != nil {
		return err
	}
	rc.fetches.Add(1)
	rc.bytes.Add(uint64(max(0, got)))
	return nil
}

// recordFailure counts a failed command, unless a newer version has replaced the
// target.
func (rc *Reconciler) recordFailure(ta *target, token uint64, err error) {
	if rc.target.Load() != ta {
		return
	}
	fa := citronstream.FaultOf(err)
	if fa.Code != citronstream.CodeStale {
		rc.failed.Add(1)
		return
	}
	rc.refused.Add(1)
	rc.event("EngineRefused", ta, token, fa.Verdict, fa.Text)
}

func (rc *Reconciler) event(kind string, ta *target, token uint64, ve citronstream.Verdict, text string) {
	if rc.rec == nil {
		return
	}
	if text == "" {
		text = strings.Join(ta.modelNames(), ",") + " as " + ta.role
	}
	rc.rec.Record(citronstream.Event{
		Kind: kind, Upstream: rc.set.Upstream, Verdict: ve.String(),
		Detail: fmt.Sprintf("version %d, token %d: %s", ta.version, token, text),
	})
}
