package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
	"github.com/citronstream/citronstream/internal/entry/stagebody"
)

// unsentChunks is how many parts of an answer wait for the writer before the
// caller counts as too slow.
const unsentChunks = 1024

// lateAfter is how long after its deadline an answer counts as late.
const lateAfter = 500 * time.Millisecond

type handler func(ctx context.Context, wr http.ResponseWriter, rq *http.Request, cl *caller) pipeline.Outcome

// serve admits a request, runs it, and counts its end.
func (se *Server) serve(wr http.ResponseWriter, rq *http.Request, run handler) {
	cl, release, fa := se.admit(rq)
	if fa != nil {
		fa = se.ofKey(rq, fa)
		se.count(se.ctx, fa)
		problem(wr, "", fa)
		return
	}
	defer release()
	se.inFlight.Add(1)
	defer se.inFlight.Add(-1)
	se.counts.Accepted.Add(1)
	ctx, cancel := context.WithCancel(se.ctx)
	defer cancel()
	se.callers.Store(rq.RemoteAddr, cancel)
	defer se.callers.Delete(rq.RemoteAddr)
	wr.Header().Set(headerRequest, cl.ID)
	out := run(ctx, wr, rq, cl)
	se.count(ctx, out.Fault)
	took := se.clk.Now().Sub(cl.start)
	if took > cl.Deadline+lateAfter {
		se.counts.Late.Add(1)
	}
	se.done(&cl.Request, took, &out)
}

// ofKey makes a refusal speak of the caller's key. An entry that refuses
// before it has asked the owner of the key does not know whether an earlier
// request with it has run.
func (se *Server) ofKey(rq *http.Request, fa *citronstream.Fault) *citronstream.Fault {
	if rq.Header.Get(headerKey) == "" {
		return fa
	}
	switch fa.Code {
	case citronstream.CodeNotReady, citronstream.CodeLeaving, citronstream.CodeLimit:
	default:
		return fa
	}
	if ca := se.current(); ca != nil {
		if sc := ca.Call(rq.PathValue("service"), rq.PathValue("call")); sc != nil && sc.Idempotent {
			return fa
		}
	}
	of := *fa
	of.Verdict = citronstream.MayHaveRun
	of.Text += "; an earlier request with this key may have run"
	return &of
}

func (se *Server) count(ctx context.Context, fa *citronstream.Fault) {
	switch {
	case fa == nil:
		se.counts.Completed.Add(1)
	case fa.Verdict == citronstream.NotRun:
		se.counts.NotRun.Add(1)
	case fa.Verdict == citronstream.Ran:
		se.counts.Ran.Add(1)
	default:
		se.counts.MayHaveRun.Add(1)
	}
	if ctx.Err() != nil {
		se.counts.Disconnected.Add(1)
	}
}

// service passes a call on to a plain service.
func (se *Server) service(ctx context.Context, wr http.ResponseWriter, rq *http.Request, cl *caller) pipeline.Outcome {
	service, call := rq.PathValue("service"), rq.PathValue("call")
	if sc := cl.ca.Call(service, call); sc != nil {
		if fa := cl.rankOf(rq, sc.Rank); fa != nil {
			problem(wr, cl.ID, fa)
			return pipeline.Outcome{Fault: fa}
		}
	}
	out := se.runner.Service(ctx, cl.ca, service, call, cl.Request)
	if out.Fault != nil {
		problem(wr, cl.ID, out.Fault)
		return out
	}
	if out.Replayed {
		wr.Header().Set("Idempotency-Replayed", "true")
	}
	answer(wr, out.Status, out.Body)
	return out
}

// pipeline runs a pipeline and answers with a stream or a whole answer.
func (se *Server) pipeline(ctx context.Context, wr http.ResponseWriter, rq *http.Request, cl *caller) pipeline.Outcome {
	name := rq.PathValue("name")
	pi, _ := cl.ca.Pipeline(name)
	if pi == nil {
		fa := refuse(citronstream.CodeNotFound, "no pipeline %q", clip(name))
		problem(wr, cl.ID, fa)
		return pipeline.Outcome{Fault: fa}
	}
	bu, err := stagebody.New(cl.Body)
	fa := citronstream.FaultOf(err)
	if fa == nil {
		fa = cl.rankOf(rq, pi.Rank)
	}
	if fa != nil {
		problem(wr, cl.ID, fa)
		return pipeline.Outcome{Fault: fa}
	}
	if bu.Stream() {
		return se.stream(ctx, wr, cl, name, bu)
	}
	out := se.runner.Pipeline(ctx, cl.ca, name, cl.Request, bu, nil)
	if out.Fault != nil {
		problem(wr, cl.ID, out.Fault)
		return out
	}
	body, _ := json.Marshal(completion{ID: cl.ID, Object: objectName, Choices: []choice{{Text: string(out.Body), Finish: "stop"}}, Usage: usageOf(out.Usage)})
	answer(wr, http.StatusOK, body)
	return out
}

func answer(wr http.ResponseWriter, status int, body []byte) {
	if status == 0 {
		status = http.StatusOK
	}
	head := wr.Header()
	head.Set("Content-Type", "application/json")
	head.Set("Content-Length", strconv.Itoa(len(body)))
	wr.WriteHeader(status)
	_, _ = wr.Write(body)
}
