// Package report reads the reports of upstreams: their load, and the changes
// of an engine's prefix cache.
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

// maxAnswerBytes bounds a report. An engine keeps a few thousand cache events
// of about 60 bytes each.
const maxAnswerBytes = 1 << 20

// Kinds of a CacheEvent.
const (
	Stored  = "stored"
	Removed = "removed"
)

// CacheEvent reports a block that was added to or removed from an engine's prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"` // increments by 1; a gap means lost events
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`
}

// Load is the number of calls that an upstream reports.
type Load struct {
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
}

// Reader reads reports over HTTP.
type Reader struct {
	cl *exchange.Client
}

// New returns a Reader with its own connections.
func New() *Reader { return &Reader{cl: exchange.New(exchange.WithMaxAnswer(maxAnswerBytes))} }

// Close closes the idle connections.
func (rd *Reader) Close() { rd.cl.Close() }

// CacheEvents reads GET /v1/cache_events: the events after a sequence number.
func (rd *Reader) CacheEvents(ctx context.Context, address string, since uint64) ([]CacheEvent, error) {
	body, err := rd.get(ctx, address, "/v1/cache_events?since="+strconv.FormatUint(since, 10))
	if err != nil {
		return nil, err
	}
	var list struct {
		Events []CacheEvent `json:"events"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, malformedFault("cache events", err)
	}
	return list.Events, nil
}

// ServiceLoad reads GET /load of a plain service.
func (rd *Reader) ServiceLoad(ctx context.Context, address string) (Load, error) {
	body, err := rd.get(ctx, address, "/load")
	if err != nil {
		return Load{}, err
	}
	var lo Load
	if err := json.Unmarshal(body, &lo); err != nil {
		return Load{}, malformedFault("load", err)
	}
	return clamp(lo), nil
}

// EngineLoad reads GET /metrics of an engine, in the Prometheus text format.
func (rd *Reader) EngineLoad(ctx context.Context, address string) (Load, error) {
	body, err := rd.get(ctx, address, "/metrics")
	if err != nil {
		return Load{}, err
	}
	return parseMetrics(body)
}

func parseMetrics(body []byte) (Load, error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return Load{}, malformedFault("metrics", err)
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
	return clamp(Load{Running: gauge("engine_requests_running"), Waiting: gauge("engine_requests_waiting")}), nil
}

// maxCalls bounds a reported number of calls; no upstream has as many.
const maxCalls = 1 << 20

func clamp(lo Load) Load {
	return Load{Running: min(max(lo.Running, 0), maxCalls), Waiting: min(max(lo.Waiting, 0), maxCalls)}
}

func (rd *Reader) get(ctx context.Context, address, path string) ([]byte, error) {
	ans, err := rd.cl.Send(ctx, exchange.Request{Method: http.MethodGet, Address: address, Path: path})
	if err != nil {
		return nil, err
	}
	defer ans.Close()
	return ans.ReadAll(ctx)
}

func malformedFault(what string, err error) error {
	return citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "malformed %s: %v", what, err)
}
