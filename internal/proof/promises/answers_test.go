package promises

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/agents"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// script plays an agent: it answers one start.
type script func(li *link.Link, re *link.Request, id string)

func chunks(li *link.Link, id string, parts ...int) {
	for _, seq := range parts {
		_ = li.Notify(citronstream.MethodChunk, citronstream.Chunk{AttemptID: id, Seq: seq, Data: []byte{byte('a' + seq)}})
	}
}

func whole(id, output string) citronstream.Result {
	return citronstream.Result{AttemptID: id, Status: 200, Length: len(output), Checksum: citronstream.Digest([]byte(output))}
}

// scripted returns a pool with one link to an agent that plays the script.
func scripted(t *testing.T, play script) *agents.Pool {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ctx, cancel := context.WithCancel(context.Background())
	eng, err := nbconn.New(nbconn.WithPollers(1))
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handler := func(li *link.Link, re *link.Request) {
		switch re.Method {
		case citronstream.MethodHello:
			re.Reply(citronstream.Hello{Name: "up", Role: "agent", Boot: "1"})
		case citronstream.MethodStart:
			var ca citronstream.Call
			if re.Decode(&ca) == nil {
				play(li, re, ca.AttemptID)
			}
		}
	}
	accepted := make(chan struct{})
	var links []*link.Link
	go func() {
		defer close(accepted)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if stream, err := eng.Attach(nc); err == nil {
				links = append(links, link.New(ctx, clk, stream, handler))
			}
		}
	}()
	po := agents.New(ctx, clk, eng, table.New(clk), func() citronstream.Hello { return citronstream.Hello{Name: "entry", Role: "entry"} })
	po.Replace([]citronstream.Upstream{{Name: "up", Agent: ln.Addr().String()}})
	t.Cleanup(func() {
		_ = ln.Close()
		<-accepted
		po.Close()
		cancel()
		for _, li := range links {
			<-li.Done()
		}
		eng.Stop()
	})
	until(t, "link", func() bool { return po.Missing() == 0 })
	return po
}

// Guards against an answer that is put together from late, repeated or
// reordered parts, or from parts of another attempt (P1, P2).
func TestAnswerOfTheAttempt(t *testing.T) {
	for _, tc := range []struct {
		name          string
		play          script
		good          bool
		late, corrupt uint64
	}{
		{"in order", func(li *link.Link, re *link.Request, id string) {
			chunks(li, id, 0, 1, 2)
			re.Reply(whole(id, "abc"))
		}, true, 0, 0},
		{"repeated", func(li *link.Link, re *link.Request, id string) {
			chunks(li, id, 0, 0, 1, 1, 2, 0)
			re.Reply(whole(id, "abc"))
		}, true, 3, 0},
		{"ahead of its turn", func(li *link.Link, re *link.Request, id string) {
			chunks(li, id, 2, 0, 1, 2)
			re.Reply(whole(id, "abc"))
		}, true, 1, 0},
		{"lost on the way", func(li *link.Link, re *link.Request, id string) {
			chunks(li, id, 0, 2)
			re.Reply(whole(id, "abc"))
		}, false, 1, 1},
		{"of another attempt", func(li *link.Link, re *link.Request, id string) {
			chunks(li, "other", 0, 1)
			chunks(li, id, 0, 1, 2)
			re.Reply(whole(id, "abc"))
		}, true, 2, 0},
		{"result of another attempt", func(li *link.Link, re *link.Request, id string) {
			chunks(li, id, 0, 1, 2)
			re.Reply(whole("other", "abc"))
		}, false, 0, 1},
		{"wrong checksum", func(li *link.Link, re *link.Request, id string) {
			chunks(li, id, 0, 1, 2)
			re.Reply(whole(id, "abd"))
		}, false, 0, 1},
		{"result twice", func(li *link.Link, re *link.Request, id string) {
			chunks(li, id, 0, 1, 2)
			re.Reply(whole(id, "abc"))
			re.Reply(whole(id, "xyz"))
		}, true, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			po := scripted(t, tc.play)
			for range 2 { // the second call shows that the first left the link in order
				var got strings.Builder
				re := po.Run(context.Background(), "up", citronstream.Call{AttemptID: citronstream.NewID(), Idempotent: true, Streams: true, Left: time.Minute},
					func(data []byte) { got.Write(data) })
				if tc.good {
					require.Nil(t, re.Fault)
					require.Equal(t, "abc", got.String())
				} else {
					require.NotNil(t, re.Fault)
					require.Equal(t, citronstream.MayHaveRun, re.Fault.Verdict)
				}
			}
			until(t, "late chunks counted", func() bool { return po.Counts().Late.Load() == 2*tc.late })
			require.Equal(t, 2*tc.corrupt, po.Counts().Corrupt.Load())
		})
	}
}

// Guards against parts that reach a caller after the end of its answer.
func TestPartsAfterTheEnd(t *testing.T) {
	var from *link.Link
	po := scripted(t, func(li *link.Link, re *link.Request, id string) {
		from = li
		chunks(li, id, 0, 1, 2)
		re.Reply(whole(id, "abc"))
	})
	var got strings.Builder
	ca := citronstream.Call{AttemptID: citronstream.NewID(), Idempotent: true, Streams: true, Left: time.Minute}
	require.Nil(t, po.Run(context.Background(), "up", ca, func(data []byte) { got.Write(data) }).Fault)
	chunks(from, ca.AttemptID, 3, 4)
	until(t, "late chunks counted", func() bool { return po.Counts().Late.Load() == 2 })
	require.Equal(t, "abc", got.String())
}

// Guards against two calls in flight on one link that get each other's
// answer, when the agent mixes up its replies (P1).
func TestCrossedResults(t *testing.T) {
	var mu sync.Mutex
	var first *link.Request
	var firstID string
	po := scripted(t, func(_ *link.Link, re *link.Request, id string) {
		mu.Lock()
		defer mu.Unlock()
		if first == nil {
			first, firstID = re, id
			return
		}
		first.Reply(whole(id, ""))
		re.Reply(whole(firstID, ""))
	})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			re := po.Run(context.Background(), "up", citronstream.Call{AttemptID: citronstream.NewID(), Idempotent: true, Left: time.Minute}, nil)
			require.NotNil(t, re.Fault)
		})
	}
	wg.Wait()
	require.EqualValues(t, 2, po.Counts().Corrupt.Load())
}

// Guards against work that an entry leaves behind when it dies: idempotent
// calls must end by their deadline, and calls that are not must run to their
// end, so that a resend gets their answer.
func TestEntryDiesWithCallsInFlight(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	fl := start(t, shape{desks: []string{"desk"}, deadline: deadline, entries: 2})
	fl.Upstream("desk-1").Slow(500) // 2.5 s a call
	var callers []<-chan answer
	for range 3 {
		callers = append(callers, fl.later(call{path: "services/desk/look"}))
	}
	callers = append(callers, fl.later(call{path: "services/desk/place", key: "order-1", body: "{}"}))
	until(t, "calls run", func() bool {
		for _, got := range callers {
			select {
			case an := <-got:
				t.Fatalf("a call ended before its entry: %+v", an)
			default:
			}
		}
		return fl.running("/look") >= 3 && fl.running("/place") == 1
	})
	fl.StopEntry("entry-1")
	for _, got := range callers {
		<-got
	}
	until(t, "calls end", func() bool { return fl.running("/look")+fl.running("/place") == 0 })
	for _, ex := range fl.Record.All() {
		if ex.Path == "/place" {
			require.Equal(t, record.Done, ex.Outcome)
			continue
		}
		require.Equal(t, record.Canceled, ex.Outcome)
		require.LessOrEqual(t, ex.EndedAt.Sub(ex.StartedAt), deadline+time.Second)
	}
	again := fl.post(call{entry: 1, path: "services/desk/place", key: "order-1", body: "{}"})
	require.True(t, again.done() && again.replay, "%+v", again)
	require.Len(t, fl.Record.ByKey("order-1"), 1)
}
