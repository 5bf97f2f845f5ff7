package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const eventStream = "text/event-stream"

// event is an event of a stream as the stand-ins send it.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// answer returns a handler that answers with a status, a type and a framed body.
func answer(status int, contentType, body string) http.HandlerFunc {
	return func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", contentType)
		wr.WriteHeader(status)
		_, _ = io.WriteString(wr, body) // fails only if the caller disconnected
	}
}

// unframed returns a handler that answers with a body that ends with its connection, by a
// FIN or a reset.
func unframed(contentType, body string, reset bool) http.HandlerFunc {
	return func(wr http.ResponseWriter, _ *http.Request) {
		header := wr.Header().Clone()
		header.Set("Content-Type", contentType)
		nc, _, err := http.NewResponseController(wr).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		var head strings.Builder
		_ = header.Write(&head) // a Builder never fails
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+head.String()+"\r\n"+body)
		if reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
		}
	}
}

// brokenAfter returns a handler that sends text of a stream and breaks off, and answers a
// request to resume with the other handler.
func brokenAfter(text string, resume http.HandlerFunc) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		if resume != nil && rq.Header.Get(site.HeaderLastEvent) != "" {
			resume(wr, rq)
			return
		}
		wr.Header().Set("Content-Type", eventStream)
		_, _ = io.WriteString(wr, text) // fails only if the caller disconnected
		_ = http.NewResponseController(wr).Flush()
		panic(http.ErrAbortHandler)
	}
}

// streamSite is a site with one entry and upstreams that all answer with a handler.
func streamSite(t *testing.T, answer http.HandlerFunc) *testSite {
	ts := newTestSite(t, 1)
	for _, up := range []*site.Upstream{ts.upstream("p1", "pool"), ts.upstream("p2", "pool"), ts.upstream("d1", "desk"), ts.upstream("d2", "desk")} {
		up.Answer.Store(&answer)
	}
	ts.waitReady()
	return ts
}

// assertStream checks what the caller of a stream gets, and whether it ends as complete.
func (ts *testSite) assertStream(ca *call, target, want string, complete bool) {
	ts.t.Helper()
	res, err := ts.send(context.Background(), ts.entries[0], ca, http.MethodPost, target, "")
	require.NoError(ts.t, err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	ts.assertStatus(http.StatusOK, res)
	assert.Equal(ts.t, want, string(raw))
	if complete {
		assert.NoError(ts.t, err)
	} else {
		assert.ErrorIs(ts.t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against a stream that is joined with an answer that isn't its rest, or that ends
// as complete without its last event.
func TestAnswersToAResume(t *testing.T) {
	rest := event(3) + event(4) + event(5)
	for _, tc := range []struct {
		name     string
		resume   http.HandlerFunc
		want     string
		complete bool
	}{
		{"not found", answer(http.StatusNotFound, "text/plain", "no such model\n\n"), allEvents(2), false},
		{"redirect", answer(http.StatusFound, "text/plain", "elsewhere\n\n"), allEvents(2), false},
		{"failure", answer(http.StatusInternalServerError, "text/plain", "out of memory\n\n"), allEvents(2), false},
		{"unmarked refusal", answer(http.StatusServiceUnavailable, "text/plain", "busy\n\n"), allEvents(2), false},
		{"failure as an event stream", answer(http.StatusBadRequest, eventStream, rest), allEvents(2), false},
		{"no content", answer(http.StatusNoContent, eventStream, ""), allEvents(2), false},
		{"whole body", answer(http.StatusOK, "application/json", "{\"error\":\"x\"}\n\n"), allEvents(2), false},
		{"error event", answer(http.StatusOK, eventStream, "event: error\ndata: out of memory\n\n"), allEvents(2), false},
		{"a missing event", answer(http.StatusOK, eventStream, event(4)+event(5)), allEvents(2), false},
		{"anew with a missing event", answer(http.StatusOK, eventStream, allEvents(2)+event(4)), allEvents(2), false},
		{"anew and shorter", answer(http.StatusOK, eventStream, allEvents(1)), allEvents(2), false},
		{"comment only", answer(http.StatusOK, eventStream, ": comment\n\n"), allEvents(2), false},
		{"text as an event", answer(http.StatusOK, eventStream, "out of memory\n\n"), allEvents(2), false},
		{"empty, ends with its connection", unframed(eventStream, "", false), allEvents(2), false},
		{"ends in an event with its connection", unframed(eventStream, event(3)+"id: 4\nda", false), allEvents(3), false},
		{"empty", answer(http.StatusOK, eventStream, ""), allEvents(2), true},
		{"rest", answer(http.StatusOK, eventStream, rest), allEvents(5), true},
		{"rest, ends with its connection", unframed(eventStream, rest, false), allEvents(5), true},
		{"anew", answer(http.StatusOK, eventStream, allEvents(5)), allEvents(5), true},
		{"anew and nothing more", answer(http.StatusOK, eventStream, allEvents(2)), allEvents(2), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := streamSite(t, brokenAfter(allEvents(2)+"id: 3\nda", tc.resume))
			ca := ts.call()
			ts.assertStream(ca, "/draft/stream/", tc.want, tc.complete)
			assert.Len(t, ts.log.Of(ca.id), 2)
		})
	}
}

// Guards against a stream that is given up though its route allows one more upstream.
func TestResumeAfterAnError(t *testing.T) {
	var answers atomic.Int32
	ts := streamSite(t, brokenAfter(allEvents(2)+"id: 3\nda", func(wr http.ResponseWriter, rq *http.Request) {
		if answers.Add(1) == 1 {
			answer(http.StatusNotFound, "text/plain", "no such model\n\n")(wr, rq)
			return
		}
		answer(http.StatusOK, eventStream, event(3)+event(4)+event(5))(wr, rq)
	}))
	ts.upstream("p3", "pool").Answer.Store(ts.upstreams["p1"].Answer.Load())
	ts.configure(2, `,{"name":"thrice","host":"h","prefix":"/thrice/stream/","kind":"streaming","timeout-ms":8000,"target-latency-ms":4000,"service":"pool","max-attempts":3,"resume-streams":true,"gap-target-ms":500}`)
	ts.waitReady()
	ts.waitFor(func() bool { return ts.entries[0].view.Routes().Version == 2 }, "no new route")
	ca := ts.call()
	ts.assertStream(ca, "/thrice/stream/", allEvents(5), true)
	assert.Len(t, ts.log.Of(ca.id), 3)
}

// Guards against a refusal that is written into a stream that has begun.
func TestRefusedResume(t *testing.T) {
	ts := newTestSite(t, 1)
	for _, ids := range [][2]string{{"p1", "p2"}, {"p2", "p1"}} {
		up := ts.upstream(ids[0], "pool")
		broken := brokenAfter(allEvents(2), nil)
		answer := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			ts.upstreams[ids[1]].Refuse.Store(true)
			broken(wr, rq)
		})
		up.Answer.Store(&answer)
	}
	ts.waitReady()
	ca := ts.call()
	ts.assertStream(ca, "/draft/stream/", allEvents(2), false)
	assert.Len(t, ts.log.Of(ca.id), 2)
	assert.Equal(t, 1, ts.executions(ca))
}

// Guards against a stream whose identifiers do not rise by one and that is broken off in
// place of being resumed.
func TestSparseIdentifiers(t *testing.T) {
	for _, begin := range []string{event(7), event(1) + event(7)} {
		ts := streamSite(t, brokenAfter(begin, answer(http.StatusOK, eventStream, event(14)+event(20))))
		ts.assertStream(ts.call(), "/draft/stream/", begin+event(14)+event(20), true)
	}
}

// Guards against a whole answer of a stream's route that is cut at its empty lines, with
// a stream joined to it.
func TestWholeAnswerOfAStreamRoute(t *testing.T) {
	body := "{\n\n\"error\": \"x\"}"
	t.Run("whole", func(t *testing.T) {
		ts := streamSite(t, answer(http.StatusOK, "application/json", body))
		ts.assertStream(ts.call(), "/once/stream/", body, true)
	})
	t.Run("reset", func(t *testing.T) {
		ts := streamSite(t, unframed("application/json", body, true))
		res, _ := ts.roundTrip(ts.entries[0], ts.call(), http.MethodPost, "/once/stream/", "")
		ts.assertStatus(http.StatusBadGateway, res)
	})
}

// Guards against events that come twice as the stream's position is not known.
func TestStreamsWithoutAPosition(t *testing.T) {
	t.Run("events without identifiers", func(t *testing.T) {
		text := "data: a\n\ndata: b\n\n"
		ts := streamSite(t, brokenAfter(text+"da", answer(http.StatusOK, eventStream, text+"data: c\n\n")))
		ca := ts.call()
		ts.assertStream(ca, "/draft/stream/", text, false)
		assert.Len(t, ts.log.Of(ca.id), 1)
	})
	t.Run("an event without identifier after others", func(t *testing.T) {
		ts := streamSite(t, brokenAfter(allEvents(2)+"data: b\n\n", answer(http.StatusOK, eventStream, "data: b\n\n"+event(3))))
		ts.assertStream(ts.call(), "/draft/stream/", allEvents(2)+"data: b\n\n", false)
	})
	t.Run("an event without identifier before others", func(t *testing.T) {
		ts := streamSite(t, brokenAfter("data: b\n\n"+event(1), answer(http.StatusOK, eventStream, event(2))))
		ts.assertStream(ts.call(), "/draft/stream/", "data: b\n\n"+allEvents(2), true)
	})
}

// Guards against a caller's own position that is lost where another upstream goes on.
func TestCallerResumes(t *testing.T) {
	var answers atomic.Int32
	ts := streamSite(t, func(wr http.ResponseWriter, rq *http.Request) {
		if answers.Add(1) == 1 {
			brokenAfter(": comment\n\n", nil)(wr, rq)
		}
		answer(http.StatusOK, eventStream, event(4)+event(5))(wr, rq)
	})
	ca := ts.call(site.HeaderLastEvent, "3")
	ts.assertStream(ca, "/draft/stream/", ": comment\n\n"+event(4)+event(5), true)
	arrivals := ts.log.Of(ca.id)
	require.Len(t, arrivals, 2)
	assert.Equal(t, "3", arrivals[1].Header.Get(site.HeaderLastEvent))
}

// Guards against an answer without length that is passed on short as if it were whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		reset      bool
		want       string
		complete   bool
	}{
		{"between events", allEvents(3), false, allEvents(3), true},
		{"in an event", allEvents(2) + "id: 3\nda", false, allEvents(2), false},
		{"reset between events", allEvents(3), true, allEvents(3), false},
	} {
		t.Run("stream/"+tc.name, func(t *testing.T) {
			ts := streamSite(t, unframed(eventStream, tc.body, tc.reset))
			ts.assertStream(ts.call(), "/once/stream/", tc.want, tc.complete)
		})
	}
	t.Run("stream/goes on at another upstream", func(t *testing.T) {
		for _, reset := range []bool{false, true} {
			first, rest := unframed(eventStream, allEvents(2)+"id: 3\nda", reset), answer(http.StatusOK, eventStream, event(3)+event(4)+event(5))
			ts := streamSite(t, func(wr http.ResponseWriter, rq *http.Request) {
				if rq.Header.Get(site.HeaderLastEvent) == "" {
					first(wr, rq)
					return
				}
				rest(wr, rq)
			})
			ts.assertStream(ts.call(), "/draft/stream/", allEvents(5), true)
		}
	})
	for _, target := range []string{"/order/", "/look/"} {
		t.Run(target+"whole", func(t *testing.T) {
			ts := streamSite(t, unframed("text/plain", "answer", false))
			res, body := ts.roundTrip(ts.entries[0], ts.call(), http.MethodPost, target, "")
			ts.assertStatus(http.StatusOK, res)
			assert.Equal(t, "answer", body)
		})
		t.Run(target+"reset", func(t *testing.T) {
			ts := streamSite(t, unframed("text/plain", "answer", true))
			res, _ := ts.roundTrip(ts.entries[0], ts.call(), http.MethodPost, target, "")
			ts.assertStatus(http.StatusBadGateway, res)
		})
	}
}
