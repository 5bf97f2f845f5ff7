package broker

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// realClock is the clock of the links.
var realClock = clockwork.NewRealClock()

type unlimitedBudget struct{}

func (unlimitedBudget) First(string) {}

func (unlimitedBudget) TakeAll(string, int) bool { return true }

func (unlimitedBudget) Return(string, int, time.Time) {}

// startPeer starts the mesh of an entry.
func startPeer(t *testing.T, ctx context.Context, eng *nbconn.Engine, age time.Duration, handler mesh.Handler) (*mesh.Mesh, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	self := func() citronstream.PeerInfo {
		return citronstream.PeerInfo{Name: address, Address: address, Boot: address, Age: age}
	}
	ms := mesh.New(realClock, logr.Discard(), eng, self, handler, func(*mesh.Peer, *link.Link) {})
	require.NoError(t, ms.Start(ctx, address))
	t.Cleanup(ms.Close)
	return ms, address
}

// A job whose owners are lost one after the other ends with a fault, never as a
// result without handles.
func TestEveryOwnerIsLost(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	eng, err := nbconn.New()
	require.NoError(t, err)
	t.Cleanup(eng.Stop)
	ownMesh, address := startPeer(t, ctx, eng, 0, func(string, *link.Link, *link.Request) {})
	t.Cleanup(cancel)
	for range 3 * maxOwners {
		_, other := startPeer(t, ctx, eng, 0, func(_ string, li *link.Link, re *link.Request) {
			if re.Method == citronstream.MethodRunJob {
				go li.Close()
			}
		})
		ownMesh.AddPeer(other, "")
	}
	vi := view.New(realClock, logr.Discard(), view.Decode{})
	br := New(ctx, realClock, logr.Discard(), address, vi, ownMesh, nil, unlimitedBudget{})
	require.Eventually(t, func() bool { return ownMesh.LiveCount() == 3*maxOwners+1 }, 10*time.Second, 10*time.Millisecond)
	for service := range 20 {
		jo := citronstream.Job{ID: "r", Service: string(rune('a' + service)), Pieces: []int{0}, Left: time.Minute, Slack: time.Second}
		re := br.Run(ctx, jo, func() {})
		if assert.NotNil(t, re.Fault) {
			assert.Equal(t, citronstream.NotRun, re.Fault.Verdict)
		}
		require.Eventually(t, func() bool { return ownMesh.LiveCount() == 3*maxOwners+1 }, 10*time.Second, 10*time.Millisecond)
	}
	cancel()
	br.Wait()
}

// A queue whose owner is new goes to an entry that has run for long: the jobs that
// wait here are handed over, not left beside those of the other owner.
func TestQueueIsHandedOver(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	eng, err := nbconn.New()
	require.NoError(t, err)
	t.Cleanup(eng.Stop)
	ownMesh, address := startPeer(t, ctx, eng, 0, func(string, *link.Link, *link.Request) {})
	t.Cleanup(cancel)
	_, old := startPeer(t, ctx, eng, time.Hour, func(_ string, _ *link.Link, re *link.Request) {
		if re.Method == citronstream.MethodRunJob {
			re.Reply(citronstream.JobResult{Handles: []string{"h"}})
		}
	})
	vi := view.New(realClock, logr.Discard(), view.Decode{ConfigKey: "config", Routing: func([]byte) (*citronstream.Routing, error) {
		return &citronstream.Routing{Version: 1, Services: map[string]citronstream.ServiceSpec{"s": {Name: "s", Batch: &citronstream.BatchSpec{Calls: 1, Items: 1, CallTime: time.Second}}}}, nil
	}})
	vi.Apply([]citronstream.Change{{Row: citronstream.Row{Key: "config", Version: 1}}}, "test")
	br := New(ctx, realClock, logr.Discard(), address, vi, ownMesh, nil, unlimitedBudget{})
	ended := make(chan citronstream.JobResult, 1)
	go func() {
		ended <- br.Run(ctx, citronstream.Job{ID: "r", Service: "s", Pieces: []int{0}, Left: time.Minute, Slack: time.Minute}, func() {})
	}()
	require.Eventually(t, func() bool { return !br.Idle() }, 10*time.Second, time.Millisecond)
	clockwork.NewRealClock().Sleep(2 * expireTicks * tickInterval) // the broker has seen that it owns the queue
	ownMesh.AddPeer(old, "")
	select {
	case re := <-ended:
		assert.Equal(t, []string{"h"}, re.Handles, "%v", re.Fault)
	case <-realClock.After(10 * time.Second):
		t.Error("the job stays here")
	}
	cancel()
	br.Wait()
}

// An owner that lives, but has given up the jobs of this process while it was silent,
// gets them again. Another one would own the queue beside it.
func TestOwnerThatForgot(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	eng, err := nbconn.New()
	require.NoError(t, err)
	t.Cleanup(eng.Stop)
	ownMesh, address := startPeer(t, ctx, eng, 0, func(string, *link.Link, *link.Request) {})
	t.Cleanup(cancel)
	for range 3 {
		forgot := false
		var other string
		_, other = startPeer(t, ctx, eng, time.Hour, func(_ string, li *link.Link, re *link.Request) {
			var jo citronstream.Job
			switch {
			case re.Method != citronstream.MethodRunJob || re.Decode(&jo) != nil:
			case !forgot:
				forgot = true
				go li.Close()
			case jo.Resume:
				re.Reply(citronstream.JobResult{Fault: citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeNotFound, "not known")})
			default:
				re.Reply(citronstream.JobResult{Handles: []string{other}})
			}
		})
		ownMesh.AddPeer(other, "")
	}
	br := New(ctx, realClock, logr.Discard(), address, view.New(realClock, logr.Discard(), view.Decode{}), ownMesh, nil, unlimitedBudget{})
	require.Eventually(t, func() bool { return ownMesh.LiveCount() == 4 }, 10*time.Second, 10*time.Millisecond)
	pe := br.remoteOwner(queue{service: "s"}, nil)
	require.NotNil(t, pe)
	re := br.Run(ctx, citronstream.Job{ID: "r", Service: "s", Pieces: []int{0}, Left: time.Minute, Slack: time.Second}, func() {})
	assert.Equal(t, []string{pe.Address}, re.Handles, "%v", re.Fault)
	cancel()
	br.Wait()
}

// Guards against a job that comes from a peer while the broker ends, and starts a
// goroutine that nobody waits for.
func TestNoLinkIsWatchedAfterTheEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	br := &Broker{ctx: ctx, done: make(chan struct{}), watched: make(map[*link.Link]bool)}
	close(br.done)
	br.Wait()
	br.watch(nil)
	assert.Empty(t, br.watched)
}

// Guards against peers that are not told of a pause, or of its end, and against messages that
// tell nothing new.
func TestPauseIsNews(t *testing.T) {
	now := time.Unix(1000, 0)
	end := now.Add(5 * time.Second)
	at := func(after time.Duration, until time.Time) report {
		return report{at: now.Add(after), pausedUntil: until}
	}
	last := at(0, end)
	assert.True(t, last.pauseChanged(report{}))
	assert.False(t, at(time.Second, end).pauseChanged(last))
	assert.True(t, at(time.Second, end.Add(time.Second)).pauseChanged(last))
	assert.True(t, at(pauseRepeat, end).pauseChanged(last))
	assert.True(t, at(time.Second, time.Time{}).pauseChanged(last), "an upstream has started anew")
	assert.False(t, at(5*time.Second, time.Time{}).pauseChanged(last), "it ended as told")
	assert.False(t, at(0, time.Time{}).pauseChanged(report{}))
}

// Guards against a pause that counts after the owner that told it was lost, and against
// absurd pauses of a faulty owner.
func TestToldPauses(t *testing.T) {
	clk := clockwork.NewFakeClock()
	br := &Broker{clk: clk, loads: make(map[string]load)}
	tell := func(pause time.Duration) {
		br.UpdateLoads(citronstream.QueueLoads{Loads: map[string]citronstream.QueueLoad{"s": {Pause: pause}}})
	}
	tell(20 * time.Second)
	clk.Advance(loadTTL)
	assert.Equal(t, 20*time.Second-loadTTL, br.Pause("s"))
	clk.Advance(1)
	assert.Zero(t, br.QueueWait("s", 0, 0, false))
	assert.Zero(t, br.Pause("s"))
	assert.Zero(t, br.Pause("unknown"))
	for _, absurd := range []time.Duration{-time.Second, math.MaxInt64} {
		tell(absurd)
		assert.GreaterOrEqual(t, br.Pause("s"), time.Duration(0))
		assert.LessOrEqual(t, br.Pause("s"), maxPause)
	}
}
