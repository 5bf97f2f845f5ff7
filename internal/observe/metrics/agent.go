package metrics

import (
	"github.com/citronstream/citronstream/internal/agent/reconcile"
	"github.com/citronstream/citronstream/internal/agent/server"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/process/agent"
)

// AddAgent adds the metrics of an agent.
func (se *Set) AddAgent(ag *agent.Agent) {
	se.events("citronstream_calls_total", "Calls received by this agent, by event.", "event", func(put func(uint64, string)) {
		co := ag.Server.Counts()
		put(co.Accepted.Load(), "taken")
		put(co.Ran.Load(), "ran")
		put(co.Refused.Load(), "refused")
		put(co.Expired.Load(), "expired")
		put(co.Canceled.Load(), "canceled")
		put(co.Orphaned.Load(), "orphaned")
		put(co.Unknown.Load(), "unknown")
		put(co.Queried.Load(), "queried")
	})
	se.events("citronstream_peer_limits_total", "Links of peers that were refused or closed, by limit.", "limit", func(put func(uint64, string)) {
		for _, name := range server.LimitNames {
			put(ag.Server.LimitCount(name), name)
		}
	})
	se.counter("citronstream_upstream_deaths_total", "Deaths of the upstream that this agent observed.", ag.Server.Counts().Deaths.Load)
	se.gauge("citronstream_calls_running", "Calls at the upstream.", func() float64 { return float64(ag.Server.Load().Running) })
	se.gauge("citronstream_calls_waiting", "Calls in the queue.", func() float64 { return float64(ag.Server.Load().Waiting) })
	se.gauge("citronstream_load_cost_units", "Cost units waiting and running.", func() float64 { return ag.Server.Load().Cost })
	se.gauge("citronstream_throughput_cost_units_per_second", "Recent throughput of the upstream.", func() float64 { return ag.Server.Load().Rate })
	se.gauge("citronstream_upstream_up", "1 if the upstream answers and takes work.", func() float64 {
		if lo := ag.Server.Load(); lo.Down || lo.Leaving {
			return 0
		}
		return 1
	})
	se.configNotices(func() (uint64, uint64) {
		co := ag.Server.Counts()
		return co.Notices.Load(), co.NoticesSkipped.Load()
	})
	se.configDocuments(ag.Config)
	if ag.Grant != nil {
		se.addOnce(ag)
	}
	if ag.Reconciler != nil {
		se.addOrders(ag.Reconciler)
	}
	se.periodicReads(func(put putReads) {
		if ag.UpstreamLoad != nil {
			co := ag.UpstreamLoad.Counts()
			put("load", co.Reads, co.Failed)
		}
		if ag.CacheFeed != nil {
			co := ag.CacheFeed.Counts()
			put("cache", co.Polls, co.Failed)
		}
	})
	se.addTimeline(ag.Timeline)
	se.tableSizes(func(put func(int, string)) {
		si := ag.Server.Sizes()
		put(si.Links, "links")
		put(si.Live, "calls")
		put(si.Attempts, "attempts")
		digests, deaths := ag.Holds.Len()
		put(digests, "suspects")
		put(deaths, "deaths")
		if ag.Claim != nil {
			co := ag.Claim.Counts()
			put(co.Keys, "keys")
			put(co.Pending, "keys_to_record")
		}
		put(ag.Timeline.Len(), "timeline")
	})
}

func (se *Set) addOnce(ag *agent.Agent) {
	se.events("citronstream_once_total", "Keyed calls, by event.", "event", func(put func(uint64, string)) {
		co := ag.Claim.Counts()
		put(co.Claims, "claimed")
		put(co.Replays, "replayed")
		put(co.Joins, "joined")
		put(co.Offline, "ran_on_grant")
		put(co.InDoubt, "in_doubt")
		put(co.Fenced, "fenced")
		put(co.Flushed, "flushed")
		put(co.Transactions, "transaction")
		put(co.Records, "recorded")
		put(co.Evicted, "evicted")
		put(co.Foreign, "foreign_row")
		put(co.Refused, "refused_at_cap")
	})
	se.gauge("citronstream_once_waiting_bytes", "Memory of keyed calls that wait for the table, with their answers.", func() float64 { return float64(ag.Claim.Counts().Bytes) })
	se.gauge("citronstream_once_unflushed", "Keyed calls that ran on the grant and have no row in the table yet.", func() float64 { return float64(ag.Claim.Counts().Unflushed) })
	se.events("citronstream_grant_total", "Ownership of idempotency slots, by event.", "event", func(put func(uint64, string)) {
		co := ag.Grant.Counts()
		put(co.Starts, "start")
		put(co.Renewals, "renewal")
		put(co.Acquired, "slot_acquired")
		put(co.Released, "slot_released")
		put(co.Takeovers, "takeover")
		put(co.ResolvedDoubts, "settled")
		put(co.Lost, "lost")
	})
	se.gauge("citronstream_slots_owned", "Idempotency slots that this agent owns.", func() float64 { return float64(ag.Grant.Counts().Owned) })
	se.gauge("citronstream_grant_until_seconds", "End of the grant in seconds since 1970; 0 without one.", func() float64 {
		if le := ag.Grant.Lease(); le != nil {
			return float64(le.Until.Unix())
		}
		return 0
	})
}

func (se *Set) addOrders(od *reconcile.Reconciler) {
	se.events("citronstream_engine_commands_total", "Commands to the engine, by event.", "event", func(put func(uint64, string)) {
		co := od.Counts()
		put(co.Commands, "sent")
		put(co.Refused, "refused")
		put(co.Failed, "failed")
		put(co.Throttled, "throttled")
	})
	se.gauge("citronstream_engine_config_version", "Configuration version of the last command that the engine accepted.", func() float64 { return float64(od.Counts().Version) })
}

// AddLedger adds the metrics of the cost records.
func (se *Set) AddLedger(le *ledger.Ledger) {
	se.gauge("citronstream_cost_records_pending", "Cost records that the table has not confirmed.", func() float64 { return float64(le.Pending()) })
	se.gauge("citronstream_cost_rows", "Rows of usage that are counted and not flushed yet.", func() float64 { return float64(le.Rows()) })
	se.counter("citronstream_cost_overflows_total", "Usage counted under \"other\" because the cap on rows was reached.", le.Overflowed)
}

func (se *Set) addTimeline(ri *timeline.Ring) {
	se.counter("citronstream_timeline_events_total", "Events recorded on the timeline.", ri.Total)
	se.counter("citronstream_clocks_rejected_total", "Clocks of peers that were ignored because they were too far ahead.", ri.Rejected)
}
