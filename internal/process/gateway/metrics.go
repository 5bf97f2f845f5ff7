package gateway

import (
	"net/http"

	"github.com/citronstream/citronstream/internal/stage/owner"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// registry registers metrics that are read when they are collected.
type registry struct{ *prometheus.Registry }

func (re registry) gauge(name, help string, read func() float64) {
	re.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

func (re registry) counter(name, help string, read func() float64) {
	re.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// metrics returns the handler of the metrics address.
func (ga *Gateway) metrics() http.Handler {
	re := registry{prometheus.NewRegistry()}
	re.MustRegister(ga.meter, queues{ga}, loadRatios{ga}, collectors.NewGoCollector())
	re.gauge("citronstream_site_config_version", "Configuration version in force, 0 before the first.", func() float64 {
		if routes := ga.view.Routes(); routes != nil {
			return float64(routes.Version)
		}
		return 0
	})
	re.counter("citronstream_site_store_restores_total", "Times that the store came back from an older copy, in a new era.", func() float64 { return float64(ga.storeRestores.Load()) })
	re.gauge("citronstream_site_entries", "Entries that take part, this one included.", func() float64 { return float64(ga.mesh.LiveCount()) })
	re.counter("citronstream_site_peer_loads_replaced_total", "Loads that were not sent to a peer, as its link was saturated until newer ones came.", func() float64 { return float64(ga.mesh.Replaced()) })
	ga.registerUpstreams(re)
	ga.registerCallers(re)
	ga.registerQuarantine(re)
	ga.registerCalls(re)
	return promhttp.HandlerFor(re, promhttp.HandlerOpts{Registry: re, MaxRequestsInFlight: 2})
}

// registerUpstreams registers the metrics of what is known of upstreams and zones.
func (ga *Gateway) registerUpstreams(re registry) {
	re.gauge("citronstream_site_upstreams", "Upstreams in use.", func() float64 { return float64(ga.view.Members().Len()) })
	re.gauge("citronstream_site_upstreams_unconfirmed", "Upstreams in use whose rows may have expired while the store was away.", func() float64 { return float64(ga.view.Unconfirmed()) })
	re.gauge("citronstream_site_upstreams_leaving", "Upstreams that have said in a response that they leave.", func() float64 {
		leaving, _ := ga.view.SelfReports()
		return float64(leaving)
	})
	re.gauge("citronstream_site_upstreams_paused", "Upstreams in a pause that they have asked for.", func() float64 {
		_, paused := ga.view.SelfReports()
		return float64(paused)
	})
	re.gauge("citronstream_site_upstreams_load_known", "Upstreams that said their load within the last 2 s.", func() float64 { return float64(ga.loadsKnown()) })
	re.gauge("citronstream_site_upstreams_slow", "Upstreams that are slower than usual for good.", func() float64 { return float64(ga.slowUpstreams()) })
	re.gauge("citronstream_site_zones_evacuated", "Zones to whose upstreams nothing more is sent.", func() float64 { return float64(len(ga.view.Evacuated())) })
	re.gauge("citronstream_site_zones_moving", "Evacuated zones that still get a falling share of the requests.", func() float64 { return float64(ga.ramp.Count()) })
	re.gauge("citronstream_site_upstreams_cold", "Upstreams that are cold.", func() float64 {
		cold, _ := ga.cold.Counts()
		return float64(cold)
	})
	re.gauge("citronstream_site_engine_starts_max", "Most requests that an engine of a service whose upstreams turn cold got within the last second, as far as this process knows.", func() float64 {
		return float64(ga.engines.MostStarts())
	})
	re.gauge("citronstream_site_gateway_list_doubtful", "1 while nothing is sent to cold upstreams, as the list of gateways may be incomplete, else 0.", func() float64 {
		if ga.turnsCold() && !ga.cold.Settled() {
			return 1
		}
		return 0
	})
	re.gauge("citronstream_site_cold_rate_share", "Share of the rate of cold upstreams that this process may use, 0 if none is cold.", func() float64 {
		_, share := ga.cold.Counts()
		return share
	})
}

// registerCallers registers the metrics of callers and of the limits on them.
func (ga *Gateway) registerCallers(re registry) {
	re.gauge("citronstream_site_in_flight", "Requests that were read and not answered.", func() float64 { return float64(ga.flow.InFlight()) })
	re.counter("citronstream_site_panics_total", "Requests that ended by a panic.", func() float64 { return float64(ga.flow.Panics()) })
	for _, limit := range limitNames {
		re.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "citronstream_site_caller_limits_total", Help: "Callers that were refused, cut or had to wait by a limit.", ConstLabels: prometheus.Labels{"limit": limit},
		}, func() float64 { return float64(ga.limits.Count(limit)) }))
	}
	re.gauge("citronstream_site_caller_memory_bytes", "Memory that is held for callers; 0 if it is not bounded.", func() float64 { return float64(ga.memory.Used()) })
	re.gauge("citronstream_site_caller_memory_limit_bytes", "Memory that may be held for callers; 0 if it is not bounded.", func() float64 { return float64(ga.memory.Total()) })
	re.gauge("citronstream_site_caller_connections", "Open connections of callers.", func() float64 { return float64(ga.callerServer.Open()) })
	re.counter("citronstream_site_accept_failures_total", "Accepts that failed for lack of descriptors or memory, at all listeners.", func() float64 {
		count := uint64(0)
		for _, li := range ga.listeners {
			count += li.Shortages()
		}
		return float64(count)
	})
	re.gauge("citronstream_site_accept_short", "Listeners that accept no connection for lack of descriptors or memory.", func() float64 {
		count := 0
		for _, li := range ga.listeners {
			if li.Short() > 0 {
				count++
			}
		}
		return float64(count)
	})
}

// registerQuarantine registers the metrics of requests and prompt parts that crash upstreams.
func (ga *Gateway) registerQuarantine(re registry) {
	re.gauge("citronstream_site_prompt_parts_suspect", "Prompt parts suspected of crashing upstreams.", func() float64 {
		suspects, _ := ga.parts.Counts()
		return float64(suspects)
	})
	re.gauge("citronstream_site_prompt_parts_held", "Prompt parts that are refused, as upstreams crashed on them.", func() float64 {
		_, held := ga.parts.Counts()
		return float64(held)
	})
	re.gauge("citronstream_site_contents_suspect", "Requests suspected of crashing upstreams.", func() float64 {
		suspects, _ := ga.holds.Counts()
		return float64(suspects)
	})
	re.gauge("citronstream_site_contents_held", "Requests that are refused, as upstreams crashed on them.", func() float64 {
		_, held := ga.holds.Counts()
		return float64(held)
	})
}

// registerCalls registers the metrics of the calls to the store and of the connections to upstreams.
func (ga *Gateway) registerCalls(re registry) {
	re.counter("citronstream_site_store_reads_total", "Reads of the store's tables.", func() float64 {
		calls, _ := ga.follower.Counts()
		return float64(calls)
	})
	re.counter("citronstream_site_store_failures_total", "Reads of the store's tables that failed.", func() float64 {
		_, failed := ga.follower.Counts()
		return float64(failed)
	})
	re.gauge("citronstream_site_connection_waits", "Requests that wait for a connection to a plain upstream.", func() float64 { return float64(ga.flow.Waiting()) })
	re.counter("citronstream_site_connections_opened_total", "Connections opened to upstreams.", func() float64 {
		opened, _ := ga.pool.Counts()
		return float64(opened)
	})
	re.counter("citronstream_site_connections_reused_total", "Requests sent over a connection that was open.", func() float64 {
		_, reused := ga.pool.Counts()
		return float64(reused)
	})
	re.counter("citronstream_site_repeats_refused_total", "Repeats that the shared budget did not allow.", func() float64 {
		return float64(ga.budget.Refused())
	})
}

// loadRatios collects the load ratio of the engines of each service.
type loadRatios struct{ ga *Gateway }

var loadRatio = prometheus.NewDesc("citronstream_site_engine_load_ratio", "Requests at the busiest engine divided by the mean, as this gateway knows them, by service; 0 without requests.", []string{"service"}, nil)

// Describe implements prometheus.Collector.
func (lr loadRatios) Describe(to chan<- *prometheus.Desc) { to <- loadRatio }

// Collect implements prometheus.Collector.
func (lr loadRatios) Collect(to chan<- prometheus.Metric) {
	routes := lr.ga.view.Routes()
	if routes == nil {
		return
	}
	for name, spec := range routes.Services {
		if spec.Engine {
			to <- prometheus.MustNewConstMetric(loadRatio, prometheus.GaugeValue, lr.ga.engines.LoadRatio(lr.ga.view.Members().Service(name)), name)
		}
	}
}

// queues collects the state of the queues that this process owns.
type queues struct{ ga *Gateway }

var (
	queueJobs   = prometheus.NewDesc("citronstream_site_queue_jobs", "Jobs of stages that wait or run, by service.", []string{"service"}, nil)
	queueLate   = prometheus.NewDesc("citronstream_site_queue_late", "Jobs that wait and can no longer reach their target, by service.", []string{"service"}, nil)
	queueMemory = prometheus.NewDesc("citronstream_site_queue_memory_ratio", "Share of the upstreams' memory that results take, by service.", []string{"service"}, nil)
	queueEvents = prometheus.NewDesc("citronstream_site_queue_events_total", "Batches, items and what became of them, by service.", []string{"service", "event"}, nil)
)

// Describe implements prometheus.Collector.
func (qu queues) Describe(to chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{queueJobs, queueLate, queueMemory, queueEvents} {
		to <- desc
	}
}

// Collect implements prometheus.Collector.
func (qu queues) Collect(to chan<- prometheus.Metric) {
	qu.ga.broker.Each(func(service string, ow *owner.Owner) {
		st := ow.State()
		to <- prometheus.MustNewConstMetric(queueJobs, prometheus.GaugeValue, float64(st.Jobs), service)
		to <- prometheus.MustNewConstMetric(queueLate, prometheus.GaugeValue, float64(st.Late), service)
		to <- prometheus.MustNewConstMetric(queueMemory, prometheus.GaugeValue, st.Used, service)
		for event, count := range map[string]uint64{
			"batch": st.Batches, "item": st.Items, "refused": st.Refused, "broken": st.Broken, "no_room": st.NoMemory,
			"repeated": st.Repeated, "expired": st.Expired, "overloaded": st.Overloaded,
			"rescued": st.Rescued, "unused": st.Unused, "contested": st.Contested,
		} {
			to <- prometheus.MustNewConstMetric(queueEvents, prometheus.CounterValue, float64(count), service, event)
		}
	})
}
