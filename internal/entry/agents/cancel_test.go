package agents

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeAgent is an agent that has not started any call. Each link reaches another
// process at the address, with the next boot identifier.
type fakeAgent struct{ boots chan string }

func (de *fakeAgent) handler(boot string) link.Handler {
	return func(_ *link.Link, re *link.Request) {
		switch re.Method {
		case citronstream.MethodHello:
			re.Reply(citronstream.Hello{Name: "up", Role: "agent", Boot: boot})
		case citronstream.MethodCancel:
			re.Reply(citronstream.CancelReply{Verdict: citronstream.NotRun})
		}
	}
}

func (de *fakeAgent) serve(ctx context.Context, t *testing.T, eng *nbconn.Engine) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if stream, err := eng.Attach(nc); err == nil {
				link.New(ctx, clockwork.NewRealClock(), stream, de.handler(<-de.boots))
			}
		}
	}()
	return ln.Addr().String()
}

// TestCancelOfAnotherProcess guards against NotRun for a cancelled call, based on
// the answer of an agent process that was started after the call was sent.
func TestCancelOfAnotherProcess(t *testing.T) {
	for name, tc := range map[string]struct {
		second string
		want   citronstream.Verdict
	}{
		"same process":    {"one", citronstream.NotRun},
		"another process": {"two", citronstream.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			eng, err := nbconn.New()
			require.NoError(t, err)
			defer eng.Stop()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			de := &fakeAgent{boots: make(chan string, 2)}
			de.boots <- "one"
			de.boots <- tc.second
			clk := clockwork.NewRealClock()
			po := New(ctx, clk, eng, table.New(clk), func() citronstream.Hello { return citronstream.Hello{Name: "entry"} })
			po.Replace([]citronstream.Upstream{{Name: "up", Agent: de.serve(ctx, t, eng)}})
			require.Eventually(t, func() bool { return po.Link("up") != nil }, time.Minute, time.Millisecond)
			first, ca := po.Link("up"), citronstream.Call{AttemptID: "a", Idempotent: true}
			ag := (*po.byName.Load())["up"]
			first.Close()
			require.Eventually(t, func() bool { li := po.Link("up"); return li != nil && li != first }, time.Minute, time.Millisecond)
			ended, end := context.WithCancel(ctx)
			end()
			re := po.failure(ended, ag, first, &ca, context.Canceled)
			require.NotNil(t, re.Fault)
			assert.Equal(t, tc.want, re.Fault.Verdict)
		})
	}
}
