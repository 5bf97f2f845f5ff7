package server

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
	"github.com/citronstream/citronstream/internal/ingress/server"
	"github.com/citronstream/citronstream/internal/ingress/wholebody"
)

// Headers of a request.
const (
	headerKey       = "Idempotency-Key"
	headerDeadline  = "Deadline" // remaining milliseconds
	headerRank      = "X-Rank"
	headerWorkspace = "X-Workspace"
	headerTrace     = "Traceparent"
	headerRequest   = "X-Request-Id"
)

// request is a request in the entry.
type request struct {
	pipeline.Request
	ca    *catalog.Catalog
	start time.Time
}

// admit authenticates a request, reads its body and checks it against the limits. The
// returned function must be called when the request has ended. Requests whose bodies are
// not complete do not count as in flight, so that slow ones don't keep out others.
func (se *Server) admit(wr *answerWriter, rq *http.Request) (*request, func(), *citronstream.Fault) {
	ca := se.current()
	if err := se.ready(); err != nil || ca == nil {
		return nil, nil, retryLater(citronstream.CodeNotReady, time.Second, "not ready")
	}
	if se.leaving.Load() {
		return nil, nil, retryLater(citronstream.CodeLeaving, time.Second, "this entry is leaving")
	}
	ws, ok := ca.Workspace(bearer(rq), rq.Header.Get(headerWorkspace))
	if !ok {
		return nil, nil, refuse(citronstream.CodeUnauthorized, "unknown token or workspace")
	}
	re := &request{ca: ca, start: se.clk.Now(), Request: pipeline.Request{ID: citronstream.NewID(), Workspace: ws}}
	if fa := re.parseHeaders(rq); fa != nil {
		return nil, nil, fa
	}
	re.At = re.start
	if fa := se.readBody(wr, rq, re); fa != nil {
		return nil, nil, fa
	}
	server.Count(rq)
	if se.leaving.Load() { // Drain may not have seen the request
		return nil, nil, retryLater(citronstream.CodeLeaving, time.Second, "this entry is leaving")
	}
	release, ok := se.concurrency.acquire(ws, ca.Fleet.Limits.MaxConcurrent)
	if !ok {
		se.counts.Limited.Add(1)
		return nil, nil, retryLater(citronstream.CodeLimit, time.Second, "too many requests of this workspace are in flight")
	}
	return re, release, nil
}

// readBody reads the body and checks it against the limits.
func (se *Server) readBody(wr *answerWriter, rq *http.Request, re *request) *citronstream.Fault {
	limits := &re.ca.Fleet.Limits
	var err error
	re.Body, err = se.bodies.Read(wr, rq, wr.memory, re.Workspace.Name, limits.MaxBodyBytes)
	switch {
	case errors.Is(err, wholebody.ErrTooLarge):
		se.hits.Hit(LimitBodyBytes)
		return refuse(citronstream.CodeTooLarge, "the body is larger than %d bytes", limits.MaxBodyBytes)
	case errors.Is(err, wholebody.ErrNoMemory):
		se.hits.Hit(LimitBodyMemory)
		return retryLater(citronstream.CodeOverloaded, time.Second, "%s", err)
	case errors.Is(err, wholebody.ErrStalled):
		se.hits.Hit(LimitBodyStall)
		return refuse(citronstream.CodeStalled, "%s", err)
	case err != nil:
		return refuse(citronstream.CodeBadRequest, "the body is incomplete")
	}
	if jsonDepth(re.Body) > limits.MaxJSONDepth {
		return refuse(citronstream.CodeBadRequest, "the body is nested deeper than %d", limits.MaxJSONDepth)
	}
	return nil
}

func (re *request) parseHeaders(rq *http.Request) *citronstream.Fault {
	re.Key = rq.Header.Get(headerKey)
	if re.Key != "" {
		re.KeyGiven = true
		if !validIdentifier(re.Key) {
			return refuse(citronstream.CodeBadRequest, "%s: 1 to %d printable ASCII characters", headerKey, maxIdentifier)
		}
	} else {
		re.Key = re.ID
	}
	if trace := rq.Header.Get(headerTrace); len(trace) == 55 && validIdentifier(trace) {
		re.Trace = trace
	}
	rank, ok := re.ca.Rank(rq.Header.Get(headerRank))
	if !ok || (len(re.Workspace.Ranks) > 0 && !contains(re.Workspace.Ranks, re.ca.Fleet.Ranks[rank].Name)) {
		return refuse(citronstream.CodeBadRequest, "%s: unknown rank, or not one of this workspace", headerRank)
	}
	re.Rank = rank
	return re.setDeadline(rq)
}

// setDeadline sets the deadline: the rank's, or the caller's if that is shorter.
func (re *request) setDeadline(rq *http.Request) *citronstream.Fault {
	re.Deadline = re.ca.Deadline(re.Rank)
	text := rq.Header.Get(headerDeadline)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return refuse(citronstream.CodeBadRequest, "%s: must be a positive number of milliseconds", headerDeadline)
	}
	re.Deadline = min(re.Deadline, time.Duration(millis)*time.Millisecond)
	return nil
}

// applyDefaultRank sets the default rank of the pipeline or call if the request
// names none.
func (re *request) applyDefaultRank(rq *http.Request, name string) *citronstream.Fault {
	if rq.Header.Get(headerRank) != "" || name == "" {
		return nil
	}
	re.Rank, _ = re.ca.Rank(name)
	return re.setDeadline(rq)
}

func bearer(rq *http.Request) string {
	token, ok := strings.CutPrefix(rq.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

func validIdentifier(text string) bool {
	if len(text) > maxIdentifier {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

func contains(list []string, name string) bool {
	for _, one := range list {
		if one == name {
			return true
		}
	}
	return false
}

// jsonDepth returns the nesting depth of objects and arrays, without decoding.
func jsonDepth(body []byte) int {
	now, most, quoted := 0, 0, false
	for i := 0; i < len(body); i++ {
		switch ch := body[i]; {
		case quoted && ch == '\\':
			i++
		case ch == '"':
			quoted = !quoted
		case quoted:
		case ch == '{' || ch == '[':
			now++
			most = max(most, now)
		case ch == '}' || ch == ']':
			now--
		}
	}
	return most
}

// concurrencyLimit counts the requests in flight by workspace. It holds only
// workspaces with requests in flight, so their number bounds its size.
type concurrencyLimit struct {
	mu    sync.Mutex
	inUse map[string]int
	total int
}

func (sh *concurrencyLimit) acquire(ws *citronstream.Workspace, most int) (func(), bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	limit := most
	if ws.MaxConcurrent > 0 {
		limit = ws.MaxConcurrent
	}
	if sh.inUse[ws.Name] >= limit || sh.total >= most {
		return nil, false
	}
	if sh.inUse == nil {
		sh.inUse = make(map[string]int)
	}
	sh.inUse[ws.Name]++
	sh.total++
	return func() { sh.release(ws.Name) }, true
}

func (sh *concurrencyLimit) release(name string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.total--
	if sh.inUse[name]--; sh.inUse[name] <= 0 {
		delete(sh.inUse, name)
	}
}
