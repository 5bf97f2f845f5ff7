package flow

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/observe/requests"
	"github.com/citronstream/citronstream/platform"
)

const (
	// comeBackBusy is when a caller is asked to come back after an overload.
	// Half a second is about two batches of a stage.
	comeBackBusy = 500 * time.Millisecond
	// maxComeBack bounds the time named to a caller.
	maxComeBack = 10 * time.Second
)

// deny answers a request that can't be served as it is.
func (rt *request) deny(status int, text string) outcome {
	return rt.answer(status, 0, citronstream.NewFault(citronstream.NotRun, citronstream.CodeBadRequest, "%s", text))
}

// refuse answers a request that has no answer of an upstream. Only a verdict
// of NotRun becomes a status that promises so.
func (rt *request) refuse(ctx context.Context, fa *citronstream.Fault) outcome {
	if gone(ctx) {
		return outcome{reason: "caller left", fault: fa, abort: true}
	}
	if rt.started {
		return outcome{reason: string(fa.Code), fault: fa, abort: true}
	}
	if fa.Verdict == citronstream.NotRun {
		rt.fl.Refused.Refused(rt.digest, rt.first)
		comeBack := fa.RetryAfter
		if comeBack <= 0 {
			comeBack = comeBackBusy
		}
		return rt.answer(http.StatusServiceUnavailable, comeBack, fa)
	}
	if fa.Code == citronstream.CodeDeadline {
		return rt.answer(http.StatusGatewayTimeout, 0, fa)
	}
	return rt.answer(http.StatusBadGateway, 0, fa)
}

// answer writes an answer of the system's own.
func (rt *request) answer(status int, comeBack time.Duration, fa *citronstream.Fault) outcome {
	header := rt.wr.Header()
	platform.SetGatewayHeaders(header, rt.ID, min(comeBack, maxComeBack))
	header.Set("Content-Type", "application/json")
	body, err := json.Marshal(fa)
	if err != nil {
		rt.fl.log.Error(err, "answer without a body", "request", rt.ID)
	}
	rt.wr.WriteHeader(status)
	if _, err := rt.wr.Write(body); err != nil {
		return outcome{status: status, reason: "caller left", fault: fa, abort: true}
	}
	return outcome{status: status, reason: string(fa.Code), fault: fa}
}

// record logs the end of a request and counts it.
func (rt *request) record(out outcome) {
	took := rt.fl.clk.Since(rt.at)
	values := make([]any, 0, 32)
	values = append(values, "request", rt.ID, "status", out.status, "reason", out.reason, "took", took.Milliseconds())
	if rt.route != nil {
		values = append(values, "route", rt.route.Name, "rank", rt.rank, "workspace", rt.workspace, "service", rt.service,
			"version", rt.routes.Version, "left", rt.Left.Milliseconds(), "target", rt.target.Sub(rt.at).Milliseconds())
	}
	if rt.stages != nil && len(rt.stages.list) > 0 && !rt.stageEnd.IsZero() {
		values = append(values, "staged", rt.stageEnd.Sub(rt.at).Milliseconds())
	}
	if rt.stages != nil && len(rt.stages.list) > 0 {
		values = append(values, "stages", rt.stages.times())
	}
	if rt.last != nil {
		values = append(values, "upstream", rt.last.ID, "listed", rt.last.Revision, "sends", rt.sends)
	}
	if out.fault != nil {
		values = append(values, "verdict", out.fault.Verdict.String(), "cause", out.fault.Text)
	}
	if out.abort {
		values = append(values, "cut", rt.started, "events", rt.lastEvent)
	}
	rt.fl.log.Info("request ended", values...)
	if rt.fl.Observe != nil {
		rt.fl.Observe(requests.Request{Service: rt.service, Workspace: rt.workspace, Outcome: out.reason, Rank: rt.rank, Took: took})
	}
}
