// Package report reads what upstreams say of themselves: their load, and the
// changes of an engine's prefix cache.
package report

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/upstream/exchange"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// maxAnswer bounds a report. An engine keeps some thousand cache events of
// about 60 bytes.
const maxAnswer = 1 << 20

// Kinds of a CacheEvent.
const (
	Stored  = "stored"
	Removed = "removed"
)

// CacheEvent is a block that entered or left an engine's prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"` // grows by 1; a gap means lost events
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`
}

// Load is what an upstream says of its load, in calls.
type Load struct {
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
}

// Reader reads reports over HTTP.
type Reader struct {
	cl *exchange.Client
}

// New returns a Reader with its own connections.
func New() *Reader { return &Reader{cl: exchange.New(exchange.WithMaxAnswer(maxAnswer))} }

// Close drops the idle connections.
func (re *Reader) Close() { re.cl.Close() }

// CacheEvents reads GET /v1/cache_events: the events after a sequence number.
func (re *Reader) CacheEvents(ctx context.Context, address string, since uint64) ([]CacheEvent, error) {
	body, err := re.get(ctx, address, "/v1/cache_events?since="+strconv.FormatUint(since, 10))
	if err != nil {
		return nil, err
	}
	var list struct {
		Events []CacheEvent `json:"events"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, malformed("cache events", err)
	}
	return list.Events, nil
}

// Plain reads GET /load of a plain service.
func (re *Reader) Plain(ctx context.Context, address string) (Load, error) {
	body, err := re.get(ctx, address, "/load")
	if err != nil {
		return Load{}, err
	}
	var lo Load
	if err := json.Unmarshal(body, &lo); err != nil {
		return Load{}, malformed("load", err)
	}
	return bounded(lo), nil
}

// Engine reads GET /metrics of an engine, in Prometheus text.
func (re *Reader) Engine(ctx context.Context, address string) (Load, error) {
	body, err := re.get(ctx, address, "/metrics")
	if err != nil {
		return Load{}, err
	}
	return parseMetrics(body)
}

func parseMetrics(body []byte) (Load, error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return Load{}, malformed("metrics", err)
	}
	gauge := func(name string) int {
		metrics := families[name].GetMetric()
		if len(metrics) == 0 {
			return 0
		}
		value := metrics[0].GetGauge().GetValue()
		if !(value >= 0) { // also for NaN
			return 0
		}
		return int(min(value, maxCalls))
	}
	return bounded(Load{Running: gauge("engine_requests_running"), Waiting: gauge("engine_requests_waiting")}), nil
}

// maxCalls bounds a reported figure; no upstream holds as many calls.
const maxCalls = 1 << 20

func bounded(lo Load) Load {
	return Load{Running: min(max(lo.Running, 0), maxCalls), Waiting: min(max(lo.Waiting, 0), maxCalls)}
}

func (re *Reader) get(ctx context.Context, address, path string) ([]byte, error) {
	an, err := re.cl.Send(ctx, exchange.Request{Method: http.MethodGet, Address: address, Path: path})
	if err != nil {
		return nil, err
	}
	defer an.Close()
	return an.Whole(ctx)
}

func malformed(what string, err error) error {
	return citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "malformed %s: %v", what, err)
}
