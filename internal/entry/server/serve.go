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

// unsentChunks is the number of parts of an answer that may wait to be written
// before the caller is disconnected as too slow.
const unsentChunks = 1024

// lateThreshold is how long after its deadline an answer counts as late.
const lateThreshold = 500 * time.Millisecond

type handler func(ctx context.Context, wr *answerWriter, rq *http.Request, re *request) pipeline.Outcome

// serve admits a request, runs it, and counts its outcome.
func (se *Server) serve(rw http.ResponseWriter, rq *http.Request, run handler) {
	wr := rw.(*answerWriter)
	re, release, fa := se.admit(wr, rq)
	if fa != nil {
		fa = se.verdictForKey(rq, fa)
		se.countOutcome(se.ctx, fa)
		problem(wr, "", fa)
		return
	}
	defer release()
	se.inFlight.Add(1)
	defer se.inFlight.Add(-1)
	se.counts.Accepted.Add(1)
	ctx, cancel := context.WithCancel(se.ctx)
	defer cancel()
	defer context.AfterFunc(rq.Context(), cancel)() // the caller has disconnected
	wr.Header().Set(headerRequest, re.ID)
	out := run(ctx, wr, rq, re)
	se.countOutcome(ctx, out.Fault)
	took := se.clk.Now().Sub(re.start)
	if took > re.Deadline+lateThreshold {
		se.counts.Late.Add(1)
	}
	se.done(&re.Request, took, &out)
}

// verdictForKey changes the verdict of a refusal to MayHaveRun if the caller
// chose the key. An entry that refuses before it has asked the owner of the key
// does not know whether an earlier request with it has run.
func (se *Server) verdictForKey(rq *http.Request, fa *citronstream.Fault) *citronstream.Fault {
	if rq.Header.Get(headerKey) == "" {
		return fa
	}
	switch fa.Code {
	case citronstream.CodeNotReady, citronstream.CodeLeaving, citronstream.CodeLimit, citronstream.CodeOverloaded, citronstream.CodeStalled:
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

func (se *Server) countOutcome(ctx context.Context, fa *citronstream.Fault) {
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

// service runs a call of a single service.
func (se *Server) service(ctx context.Context, wr *answerWriter, rq *http.Request, re *request) pipeline.Outcome {
	service, call := rq.PathValue("service"), rq.PathValue("call")
	if sc := re.ca.Call(service, call); sc != nil {
		if fa := re.applyDefaultRank(rq, sc.Rank); fa != nil {
			problem(wr, re.ID, fa)
			return pipeline.Outcome{Fault: fa}
		}
	}
	out := se.runner.Service(ctx, re.ca, service, call, re.Request)
	if out.Fault != nil {
		problem(wr, re.ID, out.Fault)
		return out
	}
	if fa := wr.fits(out.Body); fa != nil {
		problem(wr, re.ID, fa)
		return pipeline.Outcome{Fault: fa}
	}
	if out.Replayed {
		wr.Header().Set("Idempotency-Replayed", "true")
	}
	writeAnswer(wr, out.Status, out.Body)
	return out
}

// pipeline runs a pipeline and sends its answer, streamed or in one piece.
func (se *Server) pipeline(ctx context.Context, wr *answerWriter, rq *http.Request, re *request) pipeline.Outcome {
	name := rq.PathValue("name")
	pi, _ := re.ca.Pipeline(name)
	if pi == nil {
		fa := refuse(citronstream.CodeNotFound, "no pipeline %q", truncate(name))
		problem(wr, re.ID, fa)
		return pipeline.Outcome{Fault: fa}
	}
	bu, err := stagebody.New(re.Body)
	fa := citronstream.FaultOf(err)
	if fa == nil {
		fa = re.applyDefaultRank(rq, pi.Rank)
	}
	if fa != nil {
		problem(wr, re.ID, fa)
		return pipeline.Outcome{Fault: fa}
	}
	if bu.Stream() {
		return se.stream(ctx, wr, wr.memory, re, name, bu)
	}
	out := se.runner.Pipeline(ctx, re.ca, name, re.Request, bu, nil)
	if out.Fault != nil {
		problem(wr, re.ID, out.Fault)
		return out
	}
	body, _ := json.Marshal(completion{ID: re.ID, Object: objectName, Choices: []choice{{Text: string(out.Body), Finish: "stop"}}, Usage: usageOf(out.Usage)})
	if fa := wr.fits(body); fa != nil {
		problem(wr, re.ID, fa)
		return pipeline.Outcome{Fault: fa}
	}
	writeAnswer(wr, http.StatusOK, body)
	return out
}

func writeAnswer(wr http.ResponseWriter, status int, body []byte) {
	if status == 0 {
		status = http.StatusOK
	}
	head := wr.Header()
	head.Set("Content-Type", "application/json")
	head.Set("Content-Length", strconv.Itoa(len(body)))
	wr.WriteHeader(status)
	_, _ = wr.Write(body)
}
