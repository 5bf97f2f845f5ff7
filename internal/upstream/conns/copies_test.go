package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// refusalText returns an answer that says that a request did not run. The lines are
// further lines of its header.
func refusalText(status string, lines ...string) string {
	return "HTTP/1.1 " + status + "\r\nNot-Run: 1\r\n" + strings.Join(append(lines, "Keep-Alive: timeout=5", "Content-Length: 4", "", "busy"), "\r\n")
}

// serveHonestly answers each request on a connection.
func serveHonestly(nc net.Conn, br *bufio.Reader) {
	for id := readRequest(br); id != ""; id = readRequest(br) {
		writeAnswer(nc, id, "answer to "+id)
	}
}

// A copyScript is what an upstream writes on a connection whose first request it
// refuses: with the refusal, while the connection is idle, and before and after the
// answer to the second request.
type copyScript struct{ with, idle, before, after string }

// serve implements a script of serveScripts. Sent is closed when the connection is idle.
func (cs copyScript) serve(sent chan<- struct{}) func(nc net.Conn, br *bufio.Reader) {
	return func(nc net.Conn, br *bufio.Reader) {
		fmt.Fprint(nc, refusalText("503 Busy", "Id: "+readRequest(br))+cs.with)
		fmt.Fprint(nc, cs.idle)
		close(sent)
		if id := readRequest(br); id != "" {
			fmt.Fprint(nc, cs.before+answerText(id, "answer to "+id)+cs.after)
			serveHonestly(nc, br)
		}
	}
}

// answerOf sends a request and returns its verdict and the body of its answer, which is
// empty for an answer that says that the request did not run.
func answerOf(t *testing.T, po *Pool, address string, rq *Request) (string, citronstream.Verdict) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ans, err := po.Send(ctx, address, rq)
	if err != nil {
		return "", citronstream.VerdictOf(err)
	}
	defer ans.Close()
	body, err := io.ReadAll(ans)
	if err != nil {
		return "", citronstream.MayHaveRun
	}
	if ans.Header.Get("Not-Run") != "" {
		return "", citronstream.NotRun
	}
	return string(body), citronstream.Ran
}

// waitForData waits until the idle connections of a pool have unread data.
func waitForData(t *testing.T, po *Pool) {
	t.Helper()
	require.Eventually(t, func() bool {
		po.mu.Lock()
		defer po.mu.Unlock()
		for _, conns := range po.idle {
			for _, co := range conns {
				if !hasData(co.Conn.(*net.TCPConn)) {
					return false
				}
			}
		}
		return true
	}, 5*time.Second, time.Millisecond)
}

func hasData(tc *net.TCPConn) bool {
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(fd uintptr) {
		count, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && count > 0
}

// assertCopiesHarmless refuses a request, and checks that the next ones have their own
// answers, or a verdict that claims nothing.
func assertCopiesHarmless(t *testing.T, cs copyScript, want citronstream.Verdict) {
	t.Helper()
	sent := make(chan struct{})
	address := serveScripts(t, cs.serve(sent), serveHonestly, serveHonestly)
	po := newPool()
	defer po.Close()
	_, verdict := answerOf(t, po, address, newRequest("1"))
	require.Equal(t, citronstream.NotRun, verdict, "the first request was refused")
	<-sent
	if cs.idle != "" {
		waitForData(t, po)
	}
	for _, id := range []string{"2", "3"} {
		body, verdict := answerOf(t, po, address, newRequest(id))
		assert.Equal(t, want.String(), verdict.String(), "request %s", id)
		if verdict == citronstream.Ran {
			assert.Equal(t, "answer to "+id, body)
		}
		want = citronstream.Ran
	}
}

// Guards against a copy of a refusal that is taken for the answer to a later request on
// its connection, which would be called not run though it runs.
func TestCopiesOfRefusals(t *testing.T) {
	for _, status := range []string{"503 Busy", "429 Busy", "421 Misdirected", "408 Timeout", "400 Bad"} {
		for name, lines := range map[string][]string{"its identifier": {"Id: 1"}, "no identifier": nil, "an empty identifier": {"Id: "}} {
			text := refusalText(status, lines...)
			unclear := citronstream.Ran
			if name != "its identifier" {
				unclear = citronstream.MayHaveRun
			}
			t.Run(status+" with "+name, func(t *testing.T) {
				t.Run("with the refusal", func(t *testing.T) { assertCopiesHarmless(t, copyScript{with: text}, citronstream.Ran) })
				t.Run("while idle", func(t *testing.T) { assertCopiesHarmless(t, copyScript{idle: text}, citronstream.Ran) })
				t.Run("before the next answer", func(t *testing.T) { assertCopiesHarmless(t, copyScript{before: text}, unclear) })
				t.Run("twice before the next answer", func(t *testing.T) { assertCopiesHarmless(t, copyScript{before: text + text}, unclear) })
				t.Run("after the next answer", func(t *testing.T) { assertCopiesHarmless(t, copyScript{after: text}, citronstream.Ran) })
			})
		}
	}
}

// Guards against copies in other shapes that hide where the next answer begins.
func TestMalformedCopies(t *testing.T) {
	refusal := refusalText("503 Busy", "Id: 1")
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	for name, tc := range map[string]struct {
		text string
		want citronstream.Verdict
	}{
		"after an interim answer":         {interim + refusal, citronstream.Ran},
		"before an interim answer":        {refusal + interim, citronstream.Ran},
		"body longer than its length":     {refusal + "more", citronstream.MayHaveRun},
		"body shorter than its length":    {strings.TrimSuffix(refusal, "busy"), citronstream.MayHaveRun},
		"without a length":                {strings.Replace(refusal, "Content-Length: 4\r\n", "", 1), citronstream.MayHaveRun},
		"more than are skipped":           {strings.Repeat(refusal, maxStaleAnswers+1), citronstream.MayHaveRun},
		"no identifier, after an interim": {interim + refusalText("503 Busy"), citronstream.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) { assertCopiesHarmless(t, copyScript{before: tc.text}, tc.want) })
	}
}

// On a new connection, there is no earlier answer that one without an identifier could
// be a copy of, unless the upstream sends one that belongs to no request on it.
func TestRefusalOnNewConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want citronstream.Verdict
	}{
		"without an identifier":  {refusalText("503 Busy"), citronstream.NotRun},
		"after another's answer": {refusalText("503 Busy", "Id: other") + refusalText("503 Busy"), citronstream.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
				readRequest(br)
				fmt.Fprint(nc, tc.text)
			})
			po := newPool()
			defer po.Close()
			_, verdict := answerOf(t, po, address, newRequest("1"))
			assert.Equal(t, tc.want.String(), verdict.String())
		})
	}
}

// Guards against a request that is sent to an address for the second time and takes a
// copy of its first answer: both have the same identifier.
func TestFreshRequest(t *testing.T) {
	sent := make(chan struct{})
	address := serveScripts(t, copyScript{before: refusalText("503 Busy", "Id: 1")}.serve(sent), serveHonestly)
	po := newPool()
	defer po.Close()
	_, verdict := answerOf(t, po, address, newRequest("1"))
	require.Equal(t, citronstream.NotRun, verdict)
	<-sent
	again := newRequest("1")
	again.Fresh = true
	body, verdict := answerOf(t, po, address, again)
	assert.Equal(t, citronstream.Ran, verdict)
	assert.Equal(t, "answer to 1", body)
	assert.Len(t, po.idle[key{address, true}], 1, "the new connection replaces the old one")
}
