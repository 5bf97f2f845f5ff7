package policy

import (
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/retrybudget"
	"github.com/citronstream/citronstream/internal/limit/stagetime"
)

// silence is the time after which a link without an answer is closed
// (docs/design.md section 11).
const silence = 2500 * time.Millisecond

// request is a request on its way through its stages.
type request struct {
	rank, workspace int
	flood           bool
	measured        bool
	deadline        time.Time
	estimates       []stagetime.Stage
	costs           []float64 // true cost by stage
	stage           int
	retried         int
	exclude         []string // upstreams that failed at this stage
	budget          *retrybudget.Request
	current         *call
	ended           bool
	cost            float64 // served for this request
}

// entry is an entry process.
type entry struct {
	sim     *run
	zone    int
	pickers map[string]citronstream.Picker
	times   *stagetime.Estimator
	budget  *retrybudget.Budget
}

func (ru *run) newEntry(zone int) *entry {
	en := &entry{
		sim: ru, zone: zone, pickers: make(map[string]citronstream.Picker), times: stagetime.New(ru.clk),
		budget: retrybudget.New(ru.clk, ru.fleet.Limits, retrybudget.WithSource(ru.source("backoff "+strconv.Itoa(zone)))),
	}
	for _, ti := range ru.site.Tiers {
		var targets []Target
		for _, ag := range ru.agents[ti.Service] {
			targets = append(targets, Target{Name: ag.name, Zone: strconv.Itoa(ag.zone), Capacity: ti.Capacity})
		}
		en.pickers[ti.Service] = ru.policy.Picker(PickerSettings{
			Service: ti.Service, Targets: targets, Zone: strconv.Itoa(zone), Distance: ru.site.Distance,
			Fleet: ru.fleet, Clock: ru.clk, Random: ru.random("picker " + ti.Service + strconv.Itoa(zone)),
		})
	}
	return en
}

func (en *entry) accept(re *request) {
	re.budget = en.budget.Request()
	en.sim.after(re.deadline.Sub(en.sim.clk.Now()), func() { en.end(re, false, false) })
	en.start(re)
}

// start sends the current stage to an upstream.
func (en *entry) start(re *request) {
	if re.ended {
		return
	}
	now := en.sim.clk.Now()
	left := re.deadline.Sub(now)
	rest := re.estimates[re.stage:]
	deadline := re.deadline
	if en.sim.policy.Budgeted {
		if !en.times.Fits(left, rest) {
			en.end(re, false, true)
			return
		}
		deadline = now.Add(en.times.Split(left, rest)[0])
	}
	st := rest[0]
	name, ok := en.pickers[st.Service].Pick(citronstream.PickRequest{
		Service: st.Service, Zone: strconv.Itoa(en.zone), Rank: re.rank, Cost: st.Cost, Exclude: re.exclude,
	})
	if !ok {
		en.end(re, false, true)
		return
	}
	ag := en.sim.byName[name]
	ca := &call{re: re, en: en, to: ag, tier: ag.tier, cost: re.costs[re.stage], sent: now}
	ca.it = citronstream.Item{Rank: re.rank, Workspace: workspaceName(re.workspace), Cost: st.Cost, Deadline: deadline}
	re.current = ca
	en.sim.out.Attempts++
	ca.number = en.sim.out.Attempts
	ag.open[ca] = true
	en.pickers[st.Service].Sent(name, re.rank, st.Cost)
	en.sim.after(en.sim.delay(en.zone, ag.zone), func() { ag.receive(ca) })
	en.watch(ca, left)
}

// watch arms the timeout of the baselines, and finds out about a silent upstream.
func (en *entry) watch(ca *call, left time.Duration) {
	if ca.to.silent {
		en.sim.after(silence, func() { en.lost(ca) })
	}
	po := en.sim.policy
	if po.Budgeted || po.Timeout <= 0 {
		return
	}
	timeout := duration(po.Timeout * en.sim.site.Ranks[ca.re.rank].Deadline.Std().Seconds())
	if timeout < left {
		en.sim.after(timeout, func() {
			en.answered(ca, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeDeadline, "timeout"))
		})
	}
}

func (en *entry) lost(ca *call) {
	en.answered(ca, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeLinkLost, "link silent"))
}

// answered takes the first answer of a call; later ones are ignored.
func (en *entry) answered(ca *call, err error) {
	re := ca.re
	if ca.over {
		return
	}
	ca.over = true
	delete(ca.to.open, ca)
	now := en.sim.clk.Now()
	st := re.estimates[re.stage]
	en.pickers[st.Service].Ended(ca.to.name, re.rank, st.Cost, now.Sub(ca.sent), err)
	if re.ended {
		return
	}
	if err != nil {
		en.retry(ca, err)
		return
	}
	en.times.Observe(st.Service, st.Cost, now.Sub(ca.sent)-ca.began.Sub(ca.pushed))
	re.stage++
	re.exclude = nil
	if re.stage == len(re.estimates) {
		en.end(re, true, false)
		return
	}
	en.start(re)
}

// retry sends the stage once more if its verdict and the budget allow it.
func (en *entry) retry(ca *call, err error) {
	re, po := ca.re, en.sim.policy
	notRun := citronstream.VerdictOf(err) == citronstream.NotRun
	allowed := notRun || ca.tier.Idempotent
	if po.Budgeted {
		allowed = allowed && re.budget.TakeExtra()
	} else {
		allowed = allowed && po.Timeout > 0 && re.retried == 0
	}
	if !allowed {
		en.end(re, false, notRun)
		return
	}
	re.retried++
	re.exclude = append(re.exclude, ca.to.name)
	en.sim.out.Retries++
	if po.Budgeted {
		en.sim.after(en.budget.Backoff(re.retried), func() { en.start(re) })
		return
	}
	en.start(re)
}

// end closes a request once.
func (en *entry) end(re *request, met, refused bool) {
	if re.ended {
		return
	}
	re.ended = true
	if re.measured {
		en.sim.out.count(re, func(ta *Tally) {
			if met {
				ta.Met++
			}
			if refused {
				ta.Refused++
			}
		})
	}
	if !met {
		en.sim.out.Wasted += re.cost
	}
	ca := re.current
	if en.sim.policy.Budgeted && ca != nil && !ca.over {
		ca.over = true
		delete(ca.to.open, ca)
		st := re.estimates[re.stage]
		en.pickers[st.Service].Ended(ca.to.name, re.rank, st.Cost, en.sim.clk.Now().Sub(ca.sent), nil)
		en.sim.after(en.sim.delay(en.zone, ca.to.zone), func() { ca.to.withdraw(ca) })
	}
}
