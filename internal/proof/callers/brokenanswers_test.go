package callers

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// racePlays is how often an answer is sent whose outcome could depend on a race.
	racePlays = 60
	// uploadBytes is more than the sockets between gateway and upstream hold.
	uploadBytes = 8 << 20
	// playTimeout bounds one request, whose deadline is shorter.
	playTimeout = 20 * time.Second
)

// outcome is what became of a request.
type outcome struct {
	status  int
	body    string
	broken  bool // the client's connection broke off, before or within the answer
	reached int  // how many upstreams it has reached
}

// complete reports whether the client has a complete answer of an upstream.
func (ou *outcome) complete() bool { return !ou.broken && ou.status != http.StatusBadGateway }

// refused reports whether the client was told that its request has not run.
func (ou *outcome) refused() bool {
	switch ou.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// answeringSite is a gateway with upstreams that all send the same answer.
type answeringSite struct {
	*gateway
	ups    []*site.Upstream
	log    *site.Log
	client *http.Client
	next   int
}

// startAnswering starts a gateway with several upstreams of each service, as one that fails is
// avoided for a while.
func startAnswering(t *testing.T) *answeringSite {
	as := &answeringSite{log: &site.Log{}, client: &http.Client{Timeout: playTimeout, Transport: &http.Transport{DisableCompression: true}}}
	t.Cleanup(as.client.CloseIdleConnections)
	for _, service := range []string{"desk", "pool", "cut"} {
		for i := range 4 {
			up := site.NewUpstream(clk, as.log, fmt.Sprintf("%s-%d", service, i), service)
			up.Early.Store(true)
			as.ups = append(as.ups, up)
		}
	}
	as.gateway = startGatewayWith(t, 2*uploadBytes, as.ups...)
	return as
}

// answer sets the answer of the upstreams.
func (as *answeringSite) answer(text string, opts ...rawanswer.Option) {
	answer := http.HandlerFunc(rawanswer.New(clk, text, opts...).ServeHTTP)
	for _, up := range as.ups {
		up.Answer.Store(&answer)
	}
}

// send sends a request with more headers, as names and values in turn.
func (as *answeringSite) send(path string, bodyBytes int, header ...string) (ou outcome) {
	as.next++
	id := fmt.Sprint("play-", as.next)
	// No two bodies are alike: a request that seems to crash upstreams is held back.
	rq, err := http.NewRequest(http.MethodPost, "http://"+as.callers+path, strings.NewReader(id+strings.Repeat("x", bodyBytes)))
	require.NoError(as.t, err)
	rq.Host, rq.Header = "h", site.CallerHeader(id)
	for i := 0; i < len(header); i += 2 {
		rq.Header.Set(header[i], header[i+1])
	}
	if res, err := as.client.Do(rq); err != nil {
		ou.broken = true
	} else {
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		ou = outcome{status: res.StatusCode, body: string(body), broken: err != nil}
	}
	ou.reached = len(as.log.Of(id))
	return ou
}

// play sends requests until a number of them have reached an upstream, and checks each outcome.
// A request that the gateway refuses, as it takes the upstreams for failed, must not have
// reached one.
func (as *answeringSite) play(t *testing.T, count int, path string, bodyBytes int, check func(ou *outcome)) {
	t.Helper()
	for played, began := 0, clk.Now(); played < count; {
		ou := as.send(path, bodyBytes)
		if ou.refused() {
			require.Zero(t, ou.reached, "a request that reached an upstream is called not run: %+v", ou)
			require.Less(t, clk.Since(began), patience, "too few requests reach an upstream")
			clk.Sleep(poll)
			continue
		}
		played++
		require.NotZero(t, ou.reached, "the request did not reach an upstream: %+v", ou)
		check(&ou)
	}
	assert.True(t, as.lives(), "the process has ended")
}

// answerKind is a kind of request by what becomes of it when its answer is broken.
type answerKind struct {
	path, header string // header has the lines that its answers need
	once         bool   // it may reach one upstream only
}

const (
	eventStream = "Content-Type: text/event-stream\r\n"
	signedHead  = "X-Citronstream-Request-Id: ID\r\nX-Citronstream-Response-Signature: s\r\n"
	answerHead  = "HTTP/1.1 200 OK\r\n" + signedHead
	answerBody  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

var answerKinds = map[string]answerKind{
	"once":             {"/order/", "", true},
	"json":             {"/order/", "Content-Type: application/json\r\n", true},
	"repeatable":       {"/look/", "", false},
	"stream":           {"/once/stream/", eventStream, true},
	"resumable stream": {"/draft/stream/", eventStream, false},
}

// assertBroken checks that a client has no complete answer, is not told that the request did
// not run, and that a request that may run once has reached one upstream.
func (ki *answerKind) assertBroken(t *testing.T, ou *outcome) {
	t.Helper()
	assert.False(t, ou.complete(), "a broken answer is complete at the client: %+v", ou)
	if !ou.broken {
		assert.Contains(t, ou.body, "MayHaveRun")
	}
	if ki.once {
		assert.Equal(t, 1, ou.reached, "upstreams reached: %+v", ou)
	}
}

// Guards against an answer without a length that is reset while its request is still being
// written, and that its client gets as a complete one.
func TestEarlyAnswersThatAreReset(t *testing.T) {
	for kind, ki := range answerKinds {
		for form, text := range map[string]string{
			"part":    answerHead + ki.header + "\r\n" + answerBody,
			"empty":   answerHead + ki.header + "\r\n",
			"failure": strings.Replace(answerHead, "200 OK", "500 No", 1) + "\r\n" + answerBody,
		} {
			for upload, opts := range map[string][]rawanswer.Option{"unread": {rawanswer.WithReset()}, "read": {rawanswer.WithReset(), rawanswer.WithReading()}} {
				t.Run(strings.Join([]string{kind, form, upload}, " "), func(t *testing.T) {
					as := startAnswering(t)
					as.answer(text, opts...)
					as.play(t, racePlays, ki.path, uploadBytes, func(ou *outcome) { ki.assertBroken(t, ou) })
				})
			}
		}
	}
}

// Guards against an early answer that breaks off within its length or chunks.
func TestEarlyAnswersThatAreCut(t *testing.T) {
	for kind, ki := range answerKinds {
		for form, framing := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answerBody)+1, answerBody),
			"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(answerBody), answerBody),
		} {
			for name, end := range map[string]rawanswer.Option{"ended": rawanswer.WithEnd(), "reset": rawanswer.WithReset()} {
				t.Run(strings.Join([]string{kind, form, name}, " "), func(t *testing.T) {
					as := startAnswering(t)
					as.answer(answerHead+ki.header+framing, end)
					as.play(t, racePlays/4, ki.path, uploadBytes, func(ou *outcome) { ki.assertBroken(t, ou) })
				})
			}
		}
	}
}

// Guards against whole answers that are taken for broken ones: one without a length ends when
// its upstream ends its side, also if that then resets the connection, as it has not read all
// of the request.
func TestWholeEarlyAnswers(t *testing.T) {
	const neither = "\r\n" + answerBody
	// The stand-in answers one request a connection.
	length := fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(answerBody), answerBody)
	chunks := fmt.Sprintf("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(answerBody), answerBody)
	for kind, ki := range answerKinds {
		for form, an := range map[string]struct {
			text string
			opts []rawanswer.Option
		}{
			"neither, unread": {neither, []rawanswer.Option{rawanswer.WithEnd(), rawanswer.WithReset()}},
			"neither, read":   {neither, []rawanswer.Option{rawanswer.WithEnd(), rawanswer.WithReset(), rawanswer.WithReading()}},
			"neither, open":   {neither, []rawanswer.Option{rawanswer.WithEnd()}},
			"length":          {length, nil},
			"length, reset":   {length, []rawanswer.Option{rawanswer.WithReset()}},
			"chunks":          {chunks, nil},
			"chunks, reset":   {chunks, []rawanswer.Option{rawanswer.WithReset()}},
		} {
			t.Run(kind+" "+form, func(t *testing.T) {
				as := startAnswering(t)
				as.answer(answerHead+ki.header+an.text, an.opts...)
				for upload, size := range map[string]int{"short": 1, "long": uploadBytes} {
					as.play(t, racePlays/4, ki.path, size, func(ou *outcome) {
						assert.True(t, ou.complete(), "%s upload: %+v", upload, ou)
						assert.Equal(t, answerBody, ou.body)
						assert.Equal(t, 1, ou.reached)
					})
				}
			})
		}
	}
}

// plays is how often an answer is sent whose outcome depends on no race.
const plays = 4

// framings are the ways in which an answer may tell its end.
var framings = map[string]string{
	"neither": "\r\n" + answerBody,
	"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answerBody), answerBody),
	"chunks":  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(answerBody), answerBody),
	"empty":   "Content-Length: 0\r\n\r\n",
}

// testInvalidHeads checks that no request has an answer with one of these heads, and that none
// waits for another answer until its deadline.
func testInvalidHeads(t *testing.T, heads map[string]string) {
	for kind, ki := range answerKinds {
		t.Run(kind, func(t *testing.T) {
			as := startAnswering(t)
			for form, head := range heads {
				for framing, rest := range framings {
					for name, opts := range map[string][]rawanswer.Option{"open": nil, "ended": {rawanswer.WithEnd()}} {
						t.Run(strings.Join([]string{form, framing, name}, " "), func(t *testing.T) {
							as.answer(head+ki.header+rest, opts...)
							as.play(t, plays, ki.path, 1, func(ou *outcome) {
								ki.assertBroken(t, ou)
								assert.NotContains(t, ou.body, "deadline")
							})
						})
					}
				}
			}
		})
	}
}

const refusalHead = "X-Citronstream-Request-Id: ID\r\nX-Citronstream-Not-Executed: 1\r\n"

// Guards against an answer whose status is none, and that is passed on, taken for an interim
// one, or for a refusal.
func TestInvalidStatuses(t *testing.T) {
	heads := map[string]string{
		"refusal":      "HTTP/1.1 000 No\r\n" + refusalHead,
		"second head":  "HTTP/1.1 000 No\r\n\r\n" + answerHead,
		"after a 100":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 No\r\n" + signedHead,
		"after a copy": "HTTP/1.1 200 OK\r\nX-Citronstream-Request-Id: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 No\r\n" + signedHead,
	}
	for _, status := range rawanswer.InvalidStatuses {
		heads[status] = "HTTP/1.1 " + status + "\r\n" + signedHead
	}
	testInvalidHeads(t, heads)
}

// Guards against an answer in whose head the name of a field holds a blank or a control byte,
// and that is passed on. If the line was to tell the length, the body is not the upstream's.
func TestInvalidFieldNames(t *testing.T) {
	heads := make(map[string]string)
	for _, line := range append([]string{" A: c"}, rawanswer.InvalidLines...) {
		name := strings.Trim(fmt.Sprintf("%q", line), `"`)
		heads[name] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + signedHead
		heads[name+" refusal"] = "HTTP/1.1 503 Busy\r\n" + line + "\r\n" + refusalHead
	}
	heads["last line"] = answerHead + "A : c\r\n"
	heads["failure"] = strings.Replace(answerHead, "200 OK", "500 No", 1) + "A : c\r\n"
	heads["not found"] = strings.Replace(answerHead, "200 OK", "404 No", 1) + "A : c\r\n"
	heads["after a 100"] = "HTTP/1.1 100 Continue\r\nA : c\r\n\r\n" + answerHead
	testInvalidHeads(t, heads)
}

// Guards against a stage whose results come from a broken answer: its request would go on with
// them. It has not run, and is told so.
func TestBrokenAnswersOfStages(t *testing.T) {
	const items = `{"items":[{"handle":"127.0.0.1:1/a"}]}`
	for form, an := range map[string]struct {
		text string
		opts []rawanswer.Option
	}{
		"status":     {"HTTP/1.1 000 No\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + items, []rawanswer.Option{rawanswer.WithEnd()}},
		"field name": {"HTTP/1.1 200 OK\r\nA : c\r\n\r\n" + items, []rawanswer.Option{rawanswer.WithEnd()}},
		"cut":        {"HTTP/1.1 200 OK\r\n\r\n" + items[:len(items)-1], []rawanswer.Option{rawanswer.WithEnd()}},
		"reset":      {"HTTP/1.1 200 OK\r\n\r\n" + items[:len(items)-1], []rawanswer.Option{rawanswer.WithReset()}},
	} {
		t.Run(form, func(t *testing.T) {
			as := startAnswering(t)
			as.answer(answerHead+eventStream+"Connection: close\r\n"+framings["length"], rawanswer.WithEnd())
			var batches atomic.Int64
			answer := rawanswer.New(clk, an.text, an.opts...)
			for _, up := range as.ups {
				if up.Service == "cut" {
					up.Config.Handler = http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
						batches.Add(1)
						answer.ServeHTTP(wr, rq)
					})
				}
			}
			for range plays {
				ou := as.send("/staged/stream/", 1, site.HeaderPieces, "1,0", site.HeaderPieceKey, "k", site.HeaderTokens, "10,5", site.HeaderLeft, "1500")
				assert.False(t, ou.broken, "%+v", ou)
				assert.True(t, ou.refused(), "%+v", ou)
				assert.Zero(t, ou.reached, "%+v", ou)
			}
			assert.GreaterOrEqual(t, batches.Load(), int64(plays))
		})
	}
}
