package flow

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/platform"
)

// comeBackSoon is when a caller is asked to come back to a process that can't serve yet
// or for whose request no upstream is known. Another process may serve it at once.
const comeBackSoon = 200 * time.Millisecond

// admit reads the request and finds what serves it. False means that it was
// answered; the outcome says how.
func (rt *request) admit() (outcome, bool) {
	var err error
	rt.CallerRequest, err = platform.ParseRequest(rt.rq.Header)
	if err != nil {
		rt.CallerRequest = &citronstream.CallerRequest{}
		return rt.deny(http.StatusBadRequest, err.Error()), false
	}
	if rt.fl.closed(rt.at) {
		return rt.answer(http.StatusServiceUnavailable, comeBackSoon,
			citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "this process is leaving")), false
	}
	rt.routes = rt.fl.View.Routes()
	if rt.routes == nil {
		return rt.answer(http.StatusServiceUnavailable, comeBackSoon,
			citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "no configuration is known yet")), false
	}
	rt.route = rt.routes.Find(rt.rq.Host, rt.rq.URL.Path)
	if rt.route == nil {
		return rt.deny(http.StatusNotFound, "no route"), false
	}
	if !rt.identify() {
		return rt.deny(http.StatusUnauthorized, "unknown key"), false
	}
	if out, ok := rt.read(); !ok {
		return out, false
	}
	rt.bound()
	rt.service = pickShare(rt.route.Split)
	if until, held := rt.fl.Holds.Held(rt.digest); held {
		return rt.answer(http.StatusServiceUnavailable, until.Sub(rt.fl.clk.Now()),
			citronstream.NewFault(citronstream.NotRun, citronstream.CodeQuarantined, "the content has killed upstreams")), false
	}
	return outcome{}, true
}

// identify finds the workspace. False means that the route asks for a key that isn't known.
func (rt *request) identify() bool {
	rt.rank = rt.route.Rank
	holder, known := rt.routes.Keys[rt.Key]
	if known {
		rt.workspace = holder.Workspace
		if holder.Rank >= 0 {
			rt.rank = holder.Rank
		}
	}
	return known || rt.route.Anonymous || rt.routes.Keys == nil
}

// read reads the body, so that an upstream is not held up by a slow caller.
func (rt *request) read() (outcome, bool) {
	limit := int64(rt.routes.Limits.BodyBytes)
	reader := io.Reader(rt.rq.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(rt.wr, rt.rq.Body, limit)
	}
	var err error
	rt.body, err = io.ReadAll(reader)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return rt.deny(http.StatusRequestEntityTooLarge, "the body is too long"), false
	case err != nil:
		return outcome{reason: "caller left", abort: true}, false
	}
	hash := xxhash.New()
	for _, text := range []string{rt.rq.Method, "\x00", rt.rq.RequestURI, "\x00", rt.Key, "\x00"} {
		_, _ = hash.WriteString(text) // never fails
	}
	_, _ = hash.Write(rt.body)
	rt.digest = hash.Sum64()
	return outcome{}, true
}

// bound sets the times of the request.
func (rt *request) bound() {
	left := rt.route.Timeout
	if !rt.Unbounded && (rt.Left < left || left <= 0) {
		left = rt.Left
	}
	rt.end = rt.at.Add(left)
	rt.first = rt.fl.Refused.First(rt.digest, rt.at)
	rt.target = rt.first.Add(rt.route.Target)
}

// pickShare draws the service of a request by the weights of its route.
func pickShare(split []citronstream.Share) string {
	sum := 0.0
	for _, sh := range split {
		sum += max(0, sh.Weight)
	}
	at := rand.Float64() * sum
	for _, sh := range split {
		if at -= max(0, sh.Weight); at < 0 {
			return sh.Service
		}
	}
	return split[0].Service
}
