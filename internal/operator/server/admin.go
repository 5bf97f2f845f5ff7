package server

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/ledger"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/citronstream/citronstream/internal/operator/doubts"
	"github.com/citronstream/citronstream/internal/operator/report"
)

// Maximum numbers of events in one answer and of cost records in one page.
const (
	maxEvents  = 100000
	maxRecords = 5000
)

func (se *Server) status(wr http.ResponseWriter, _ *http.Request, _ string) {
	writeOK(wr, se.process.Status(se.ctx))
}

// timeline answers with the events that match the query: request, upstream,
// kind, process, since, limit and own.
func (se *Server) timeline(wr http.ResponseWriter, rq *http.Request, _ string) {
	qu := rq.URL.Query()
	fi := timeline.Filter{RequestID: qu.Get("request"), Upstream: qu.Get("upstream"), Kind: qu.Get("kind"), Processes: qu["process"], Limit: maxEvents}
	if since := qu.Get("since"); since != "" {
		at, err := se.since(since)
		if err != nil {
			writeProblem(wr, http.StatusBadRequest, "since: want a duration such as 5m or a time such as 2026-01-02T15:04:05Z")
			return
		}
		fi.Since = timeline.At(at)
	}
	if limit := qu.Get("limit"); limit != "" {
		number, err := strconv.Atoi(limit)
		if err != nil || number < 1 || number > maxEvents {
			writeProblem(wr, http.StatusBadRequest, "limit: want 1 to %d", maxEvents)
			return
		}
		fi.Limit = number
	}
	events := se.process.Timeline(se.ctx, fi, qu.Get("own") == "1")
	if events == nil {
		events = []citronstream.Event{}
	}
	writeOK(wr, report.Timeline{Events: events})
}

func (se *Server) since(text string) (time.Time, error) {
	if ago, err := time.ParseDuration(text); err == nil {
		return se.clk.Now().Add(-ago), nil
	}
	return time.Parse(time.RFC3339, text)
}

// cost answers with a page of the cost records of a day (UTC) as JSON lines.
// The default is today. The parameter after takes the key of the last record
// to get the next page; an empty page is the end.
func (se *Server) cost(wr http.ResponseWriter, rq *http.Request, _ string) {
	if se.table == nil {
		writeProblem(wr, http.StatusNotFound, "this process reads no cost records")
		return
	}
	day := se.clk.Now()
	if text := rq.URL.Query().Get("day"); text != "" {
		var err error
		if day, err = time.Parse(time.DateOnly, text); err != nil {
			writeProblem(wr, http.StatusBadRequest, "day: want a date such as 2026-01-02")
			return
		}
	}
	deltas, err := ledger.Read(se.ctx, se.table, day, rq.URL.Query().Get("after"), maxRecords)
	if err != nil {
		writeProblem(wr, http.StatusServiceUnavailable, "cost records: %s", err)
		return
	}
	var body bytes.Buffer
	if err := ledger.Export(&body, deltas); err != nil {
		writeProblem(wr, http.StatusInternalServerError, "%s", err)
		return
	}
	writeBody(wr, http.StatusOK, "application/jsonl", body.Bytes())
}

func (se *Server) holds(wr http.ResponseWriter, _ *http.Request, _ string) {
	body, err := se.process.Holds()
	if err != nil {
		writeFault(wr, err)
		return
	}
	writeBody(wr, http.StatusOK, "application/json", body)
}

func (se *Server) lift(wr http.ResponseWriter, rq *http.Request, operator string) {
	var li report.LiftHold
	if decodeBody(wr, rq, &li) {
		se.log.Info("hold lifted", "operator", operator, "digest", li.Digest)
		writeOK(wr, report.LiftedHold{Processes: se.process.Lift(se.ctx, li.Digest)})
	}
}

func (se *Server) doubts(wr http.ResponseWriter, _ *http.Request, _ string) {
	store := se.store()
	if se.table == nil || store == nil {
		writeProblem(wr, http.StatusServiceUnavailable, "this process has no configuration yet")
		return
	}
	found, err := doubts.New(se.clk, se.table).List(se.ctx, store.Current().Fleet)
	if err != nil {
		writeProblem(wr, http.StatusServiceUnavailable, "slots: %s", err)
		return
	}
	writeOK(wr, found)
}

func (se *Server) liftDoubt(wr http.ResponseWriter, rq *http.Request, operator string) {
	var li report.LiftDoubt
	if !decodeBody(wr, rq, &li) {
		return
	}
	if se.table == nil {
		writeProblem(wr, http.StatusNotFound, "this process reads no slots")
		return
	}
	slots, err := doubts.New(se.clk, se.table).Lift(se.ctx, li)
	switch {
	case errors.Is(err, citronstream.ErrNotFound):
		writeProblem(wr, http.StatusConflict, "%s", err)
	case err != nil:
		writeProblem(wr, http.StatusServiceUnavailable, "slots: %s", err)
	default:
		se.log.Info("interval of uncertainty lifted", "operator", operator, "service", li.Service, "upstream", li.Upstream, "epoch", li.Epoch)
		se.process.RefreshSlots(li.Service)
		writeOK(wr, report.LiftedDoubt{Slots: slots})
	}
}

func (se *Server) drain(wr http.ResponseWriter, rq *http.Request, operator string) {
	var dr report.Drain
	if !decodeBody(wr, rq, &dr) {
		return
	}
	if err := se.process.Drain(se.ctx, dr.Name); err != nil {
		writeFault(wr, err)
		return
	}
	se.log.Info("drain requested", "operator", operator, "name", dr.Name)
	writeOK(wr, dr)
}

func (se *Server) config(wr http.ResponseWriter, _ *http.Request, _ string) {
	store := se.store()
	if store == nil {
		writeProblem(wr, http.StatusServiceUnavailable, "this process has no configuration yet")
		return
	}
	sn := store.Current()
	writeOK(wr, report.Config{Record: sn.Document.Record, Fleet: sn.Fleet})
}

// apply proposes a fleet as the next version, with the operator as its author.
func (se *Server) apply(wr http.ResponseWriter, rq *http.Request, operator string) {
	store := se.store()
	if store == nil {
		writeProblem(wr, http.StatusServiceUnavailable, "this process has no configuration yet")
		return
	}
	var ap report.Apply
	if !decodeBody(wr, rq, &ap) {
		return
	}
	if ap.Fleet == nil {
		writeProblem(wr, http.StatusBadRequest, "Fleet: missing")
		return
	}
	if faults := se.check(ap.Fleet); len(faults) > 0 {
		writeProblem(wr, http.StatusUnprocessableEntity, "%s", strings.Join(faults, "; "))
		return
	}
	accepted, err := store.Accept(se.ctx, ap.Base, ap.Fleet, operator)
	var conflict *version.ConflictError
	switch {
	case errors.As(err, &conflict):
		se.conflict(wr, conflict)
	case err != nil:
		writeProblem(wr, http.StatusServiceUnavailable, "apply: %s", err)
	default:
		se.log.Info("configuration accepted", "operator", operator, "version", accepted)
		writeOK(wr, report.Applied{Version: accepted})
	}
}

func (se *Server) conflict(wr http.ResponseWriter, ce *version.ConflictError) {
	co := report.Conflict{Base: ce.Base, Winner: ce.Winner}
	for _, ch := range ce.Changes {
		co.Changes = append(co.Changes, ch.String())
	}
	writeJSON(wr, http.StatusConflict, co)
}
