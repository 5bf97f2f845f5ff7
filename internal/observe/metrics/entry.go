package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/citronstream/citronstream/internal/entry/server"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	operators "github.com/citronstream/citronstream/internal/operator/server"
	"github.com/citronstream/citronstream/internal/process/entry"
	"github.com/citronstream/citronstream/internal/route/table"
)

// states lists all membership states, so that each is exported even when it is 0.
var states = []table.State{table.Live, table.Suspect, table.Leaving, table.Gone}

// AddEntry adds the metrics of an entry.
func (se *Set) AddEntry(en *entry.Entry) {
	se.gauge("citronstream_requests_in_flight", "Callers' requests that have not ended.", func() float64 { return float64(en.Server.InFlight()) })
	se.events("citronstream_requests_total", "Callers' requests, by event.", "event", func(put func(uint64, string)) {
		co := en.Server.Counts()
		put(co.Accepted.Load(), "accepted")
		put(co.Completed.Load(), "completed")
		put(co.NotRun.Load(), "not_run")
		put(co.MayHaveRun.Load(), "may_have_run")
		put(co.Ran.Load(), "ran_failed")
		put(co.Disconnected.Load(), "disconnected")
		put(co.SlowReaders.Load(), "slow_reader")
		put(co.Limited.Load(), "limited")
		put(co.Late.Load(), "late")
	})
	se.addClientLimits("caller", server.LimitNames, en.Server)
	se.gauge("citronstream_caller_connections", "Open connections of callers.", func() float64 { return float64(en.Server.Connections()) })
	se.events("citronstream_stages_total", "Stages and services run for requests, by event.", "event", func(put func(uint64, string)) {
		co := en.Runner.Counts()
		put(co.Requests.Load(), "request")
		put(co.Retries.Load(), "retry")
		put(co.Hedges.Load(), "hedge")
		put(co.Resumed.Load(), "resumed")
		put(co.Refused.Load(), "refused")
		put(co.NoRoute.Load(), "no_route")
		put(co.Held.Load(), "held")
	})
	se.events("citronstream_attempts_total", "Attempts at agents, by event.", "event", func(put func(uint64, string)) {
		co := en.Agents.Counts()
		put(co.Attempts.Load(), "sent")
		put(co.Queried.Load(), "queried")
		put(co.Resolved.Load(), "settled")
		put(co.Unresolved.Load(), "unsettled")
		put(co.Late.Load(), "late_chunk")
		put(co.Corrupt.Load(), "corrupt")
		put(co.Canceled.Load(), "canceled")
	})
	se.events("citronstream_links_total", "Links to agents, by event.", "event", func(put func(uint64, string)) {
		co := en.Agents.Counts()
		put(co.Links.Load(), "opened")
		put(co.LinksLost.Load(), "lost")
		put(co.LinksSilent.Load(), "silent")
	})
	se.configNotices(func() (uint64, uint64) {
		co := en.Agents.Counts()
		return co.Notices.Load(), co.NoticesSkipped.Load()
	})
	se.configDocuments(en.Config)
	se.addRoutes(en)
	se.addBudget(en)
	se.addTracker(en)
	se.periodicReads(func(put putReads) {
		list, row := en.Members.Counts(), en.HoldSync.Counts()
		put("list", list.Lists, list.Failed)
		put("holds", row.Reads, row.Failed)
	})
	se.addTimeline(en.Timeline)
	se.addEntrySizes(en)
}

// limited is a server with limits on its clients.
type limited interface {
	LimitCount(limit string) uint64
	Memory() *callermemory.Account
}

// AddOperators adds the metrics of the operators' address.
func (se *Set) AddOperators(op *operators.Server) {
	se.addClientLimits("operator", operators.LimitNames, op)
}

// addClientLimits adds the metrics of the limits on one kind of client.
func (se *Set) addClientLimits(kind string, names []string, of limited) {
	se.events("citronstream_"+kind+"_limits_total", "Clients that were refused, cut or had to wait, by limit.", "limit", func(put func(uint64, string)) {
		for _, name := range names {
			put(of.LimitCount(name), name)
		}
	})
	se.gauge("citronstream_"+kind+"_memory_bytes", "What the process holds for these clients.", func() float64 { return float64(of.Memory().Used()) })
}

func (se *Set) addEntrySizes(en *entry.Entry) {
	se.tableSizes(func(put func(int, string)) {
		si := en.Agents.Sizes()
		put(si.Links, "links")
		put(si.Flights, "attempts_in_flight")
		put(en.Routes.Snapshot().Len(), "routes")
		put(en.Outliers().Len(), "outlier_records")
		put(en.Hints.Len(), "prefix_blocks")
		put(en.StageTimes.Len(), "stage_times")
		digests, deaths := en.Holds.Len()
		put(digests, "suspects")
		put(deaths, "deaths")
		put(en.Tracker.Counts().Keys, "witness_keys")
		put(en.Timeline.Len(), "timeline")
	})
}

func (se *Set) addRoutes(en *entry.Entry) {
	se.add(prometheus.GaugeValue, "citronstream_upstreams", "Upstreams by service and membership state, as this entry sees them.", []string{"service", "state"}, func(put emit) {
		en.Routes.Snapshot().Each(func(sv *table.Service) {
			count := make(map[table.State]int, len(states))
			for _, nd := range sv.Nodes {
				count[nd.State()]++
			}
			for _, st := range states {
				put(float64(count[st]), sv.Spec.Name, st.String())
			}
		})
	})
	se.gauge("citronstream_outliers", "Upstreams with reduced weight.", func() float64 { return float64(len(en.Outliers().Outliers())) })
}

func (se *Set) addBudget(en *entry.Entry) {
	se.events("citronstream_retry_budget_total", "Extra attempts requested from the retry budget, by outcome.", "outcome", func(put func(uint64, string)) {
		spent, refused := en.Budget.Counts()
		put(spent, "granted")
		put(refused, "refused")
	})
	se.gauge("citronstream_retry_window_extras", "Extra attempts in the sliding window of the retry budget.", func() float64 {
		_, extras := en.Budget.Window()
		return float64(extras)
	})
	se.gauge("citronstream_retry_window_requests", "Requests in the sliding window of the retry budget.", func() float64 {
		requests, _ := en.Budget.Window()
		return float64(requests)
	})
}

func (se *Set) addTracker(en *entry.Entry) {
	se.events("citronstream_witness_total", "Keyed calls that this entry tracks for agents, by event.", "event", func(put func(uint64, string)) {
		co := en.Tracker.Counts()
		put(co.Refused, "refused")
		put(co.Flushed, "flushed")
		put(co.ResolveCalls, "settle")
		put(co.Written, "row_written")
	})
	se.gauge("citronstream_witness_bytes", "Bytes of answers kept for agents.", func() float64 { return float64(en.Tracker.Counts().Bytes) })
}
