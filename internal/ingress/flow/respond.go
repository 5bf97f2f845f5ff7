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
	// defaultRetryAfter is the Retry-After of a refusal that names none. Half a
	// second is about two batches of a stage.
	defaultRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds the Retry-After sent to a caller.
	maxRetryAfter = 10 * time.Second
)

// reject responds to an invalid request with a 4xx status.
func (rt *request) reject(status int, text string) outcome {
	return rt.respond(status, 0, citronstream.NewFault(citronstream.NotRun, citronstream.CodeBadRequest, "%s", text))
}

// respondFault responds to a request for which there is no upstream response.
// Only a verdict of NotRun is sent as a status that says the request has not
// run.
func (rt *request) respondFault(ctx context.Context, fa *citronstream.Fault) outcome {
	if callerDisconnected(ctx) {
		return outcome{reason: callerLeft, fault: fa, abort: true}
	}
	if rt.started {
		return outcome{reason: string(fa.Code), fault: fa, abort: true}
	}
	if fa.Verdict == citronstream.NotRun {
		retryAfter := fa.RetryAfter
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		rt.fl.Refused.RecordRefusal(rt.digest, rt.first, rt.fl.clk.Now().Add(retryAfter))
		return rt.respond(http.StatusServiceUnavailable, retryAfter, fa)
	}
	if fa.Code == citronstream.CodeDeadline {
		return rt.respond(http.StatusGatewayTimeout, 0, fa)
	}
	return rt.respond(http.StatusBadGateway, 0, fa)
}

// respond writes a response that was not produced by an upstream.
func (rt *request) respond(status int, retryAfter time.Duration, fa *citronstream.Fault) outcome {
	header := rt.wr.Header()
	platform.SetGatewayHeaders(header, rt.ID, min(retryAfter, maxRetryAfter))
	header.Set("Content-Type", "application/json")
	body, err := json.Marshal(fa)
	if err != nil {
		rt.fl.log.Error(err, "encoding a fault failed, response has no body", "request", rt.ID)
	}
	rt.started = true
	rt.allowWrite()
	rt.wr.WriteHeader(status)
	if _, err := rt.wr.Write(body); err != nil {
		return outcome{status: status, reason: callerLeft, fault: fa, abort: true}
	}
	return outcome{status: status, reason: string(fa.Code), fault: fa}
}

// abort closes the caller's connection, so that the caller sees the response is incomplete.
// Without chunks, the end of a connection would be that of the response, so it is reset.
func (rt *request) abort() {
	if rt.started && !rt.rq.ProtoAtLeast(1, 1) {
		if nc, _, err := http.NewResponseController(rt.wr).Hijack(); err == nil {
			if co, ok := nc.(interface{ SetLinger(seconds int) error }); ok {
				_ = co.SetLinger(0) // fails only on a closed connection
			}
			_ = nc.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// record logs the end of a request and passes it to Observe.
func (rt *request) record(out outcome) {
	took := rt.fl.clk.Since(rt.at)
	values := make([]any, 0, 38)
	values = append(values, "request", rt.ID, "status", out.status, "reason", out.reason, "took", took.Milliseconds())
	if rt.route != nil {
		values = append(values, "route", rt.route.Name, "rank", rt.rank, "workspace", rt.workspace, "service", rt.service,
			"version", rt.routes.Version, "left", rt.Left.Milliseconds(), "target", rt.target.Sub(rt.at).Milliseconds())
	}
	if rt.stages != nil && len(rt.stages.list) > 0 && !rt.stageEnd.IsZero() {
		values = append(values, "staged", rt.stageEnd.Sub(rt.at).Milliseconds())
	}
	if rt.stages != nil && len(rt.stages.list) > 0 {
		values = append(values, "stages", rt.stages.timings())
	}
	if rt.TokensIn > 0 {
		values = append(values, "tokens", rt.TokensIn)
	}
	if !rt.firstEvent.IsZero() {
		values = append(values, "first", rt.firstEvent.Sub(rt.at).Milliseconds())
	}
	if rt.last != nil {
		values = append(values, "upstream", rt.last.ID, "listed", citronstream.FormatVersion(rt.last.Revision), "sends", rt.sends)
	}
	if rt.noRetry != "" {
		values = append(values, "no retry", rt.noRetry)
	}
	if out.fault != nil {
		values = append(values, "verdict", out.fault.Verdict.String(), "cause", out.fault.Text)
	}
	if rt.raised {
		values = append(values, "raised", true)
	}
	if out.abort {
		values = append(values, "cut", rt.started, "events", rt.lastEvent)
	}
	rt.fl.log.Info("request ended", values...)
	if rt.route != nil && out.reason != callerLeft && out.status/100 != 4 {
		rt.fl.floor.Observe(rt.route.Name, out.status == http.StatusOK && !out.abort)
	}
	if rt.fl.Observe != nil {
		rt.fl.Observe(requests.Request{Service: rt.service, Workspace: rt.workspace, Outcome: out.reason, Rank: rt.rank, Took: took, Unanswered: !rt.started})
	}
}
