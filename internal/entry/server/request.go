package server

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
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

// caller is one request on its way through the entry.
type caller struct {
	pipeline.Request
	ca    *catalog.Catalog
	start time.Time
}

// admit authenticates a request and checks it against the limits. The
// release must be called when the request has ended.
func (se *Server) admit(rq *http.Request) (*caller, func(), *citronstream.Fault) {
	ca := se.current()
	if err := se.ready(); err != nil || ca == nil {
		return nil, nil, later(citronstream.CodeNotReady, time.Second, "not ready")
	}
	if se.leaving.Load() {
		return nil, nil, later(citronstream.CodeLeaving, time.Second, "this entry is leaving")
	}
	ws, ok := ca.Workspace(bearer(rq), rq.Header.Get(headerWorkspace))
	if !ok {
		return nil, nil, refuse(citronstream.CodeUnauthorized, "unknown token or workspace")
	}
	release, ok := se.shares.take(ws, ca.Fleet.Limits.MaxConcurrent)
	if !ok {
		se.counts.Limited.Add(1)
		return nil, nil, later(citronstream.CodeLimit, time.Second, "too many requests of this workspace are in flight")
	}
	cl := &caller{ca: ca, start: se.clk.Now(), Request: pipeline.Request{ID: citronstream.NewID(), Workspace: ws}}
	if fa := cl.headers(rq); fa != nil {
		release()
		return nil, nil, fa
	}
	cl.At = cl.start
	var err error
	if cl.Body, err = io.ReadAll(io.LimitReader(rq.Body, int64(ca.Fleet.Limits.MaxBodyBytes)+1)); err != nil {
		release()
		return nil, nil, refuse(citronstream.CodeBadRequest, "the body ended early")
	}
	if len(cl.Body) > ca.Fleet.Limits.MaxBodyBytes {
		release()
		return nil, nil, refuse(citronstream.CodeTooLarge, "the body is larger than %d bytes", ca.Fleet.Limits.MaxBodyBytes)
	}
	if depth(cl.Body) > ca.Fleet.Limits.MaxJSONDepth {
		release()
		return nil, nil, refuse(citronstream.CodeBadRequest, "the body is nested deeper than %d", ca.Fleet.Limits.MaxJSONDepth)
	}
	return cl, release, nil
}

func (cl *caller) headers(rq *http.Request) *citronstream.Fault {
	cl.Key = rq.Header.Get(headerKey)
	if cl.Key != "" {
		cl.KeyGiven = true
		if !identifier(cl.Key) {
			return refuse(citronstream.CodeBadRequest, "%s: 1 to %d printable ASCII characters", headerKey, maxIdentifier)
		}
	} else {
		cl.Key = cl.ID
	}
	if trace := rq.Header.Get(headerTrace); len(trace) == 55 && identifier(trace) {
		cl.Trace = trace
	}
	rank, ok := cl.ca.Rank(rq.Header.Get(headerRank))
	if !ok || (len(cl.Workspace.Ranks) > 0 && !contains(cl.Workspace.Ranks, cl.ca.Fleet.Ranks[rank].Name)) {
		return refuse(citronstream.CodeBadRequest, "%s: unknown rank, or not one of this workspace", headerRank)
	}
	cl.Rank = rank
	return cl.limit(rq)
}

// limit sets the deadline: the rank's, or the caller's if that is shorter.
func (cl *caller) limit(rq *http.Request) *citronstream.Fault {
	cl.Deadline = cl.ca.Deadline(cl.Rank)
	text := rq.Header.Get(headerDeadline)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return refuse(citronstream.CodeBadRequest, "%s: must be a positive number of milliseconds", headerDeadline)
	}
	cl.Deadline = min(cl.Deadline, time.Duration(millis)*time.Millisecond)
	return nil
}

// rankOf sets the rank that the pipeline or call gives to requests that name none.
func (cl *caller) rankOf(rq *http.Request, name string) *citronstream.Fault {
	if rq.Header.Get(headerRank) != "" || name == "" {
		return nil
	}
	cl.Rank, _ = cl.ca.Rank(name)
	return cl.limit(rq)
}

func bearer(rq *http.Request) string {
	token, ok := strings.CutPrefix(rq.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

func identifier(text string) bool {
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

// depth returns how deep objects and arrays are nested, without decoding.
func depth(body []byte) int {
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

// shares counts the requests in flight by workspace. It holds only
// workspaces with requests, so it is bounded by the requests in flight.
type shares struct {
	mu    sync.Mutex
	inUse map[string]int
	total int
}

func (sh *shares) take(ws *citronstream.Workspace, most int) (func(), bool) {
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

func (sh *shares) release(name string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.total--
	if sh.inUse[name]--; sh.inUse[name] <= 0 {
		delete(sh.inUse, name)
	}
}
