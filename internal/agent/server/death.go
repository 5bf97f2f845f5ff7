package server

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/attempts"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// Times of looking after an upstream that doesn't answer.
const (
	probeTimeout = 250 * time.Millisecond
	probeEvery   = 200 * time.Millisecond
	// reportWait is how long the entries' receipt of a death is waited for.
	reportWait = 500 * time.Millisecond
)

// deathOf says whether the upstream is dead after a call that it did not
// answer. The first call that finds a death reports the contents that ran.
// Ran says that this call may have been running.
func (se *Server) deathOf(inc uint64, ran bool) bool {
	if se.reachable() {
		se.mu.Lock()
		died, told := se.inc != inc && ran, se.reported
		se.mu.Unlock()
		if died {
			<-told
		}
		return died
	}
	se.mu.Lock()
	if se.inc != inc || se.down {
		told := se.reported
		se.mu.Unlock()
		<-told
		return true
	}
	se.inc++
	nth := se.inc
	told := make(chan struct{})
	defer close(told)
	se.down, se.reported = true, told
	digests := make([]uint64, 0, len(se.running))
	for _, at := range se.running {
		digests = append(digests, at.Call.Digest)
	}
	se.mu.Unlock()
	se.died(nth, digests)
	return true
}

func (se *Server) died(nth uint64, digests []uint64) {
	se.counts.Deaths.Add(1)
	se.log.Info("upstream died", "upstream", se.up.Name, "running", len(digests))
	se.event(citronstream.Event{Kind: "UpstreamDied", Upstream: se.up.Name})
	if se.holds != nil && len(digests) > 0 {
		report := poison.Report{
			ID: poison.DeathID(se.up.Name, se.life(), nth), Upstream: se.up.Name, At: se.clk.Now(), Running: digests,
		}
		report.Held = se.holds.Merge(report)
		se.report(report)
	}
	se.Broadcast(citronstream.MethodLoad, se.Load())
	se.runs.Add(1)
	go se.await()
}

// life tells the deaths that this process counts from those that an earlier
// one counted.
func (se *Server) life() uint64 {
	if epoch := se.epoch(); epoch != 0 {
		return epoch
	}
	return se.began
}

// report tells the entries of a death and waits until they have noted it, or
// reportWait has passed. The calls that ended with the death are answered only
// then: a caller that sends the content again at once through another entry
// would otherwise be faster than the report, and kill one upstream more.
func (se *Server) report(report poison.Report) {
	ctx, cancel := context.WithCancel(se.ctx)
	defer cancel()
	defer se.clk.AfterFunc(reportWait, cancel).Stop()
	var wg sync.WaitGroup
	se.Links(func(_ string, li *link.Link) {
		wg.Go(func() { _ = li.Call(ctx, citronstream.MethodPoison, report, nil) })
	})
	wg.Wait()
}

// withdrawSurplus cancels suspects that run beside another one, so that the
// next death names its cause. Their entries send them elsewhere.
func (se *Server) withdrawSurplus() {
	se.mu.Lock()
	running := make([]*attempts.Attempt, 0, len(se.running))
	digests := make([]uint64, 0, len(se.running))
	for _, at := range se.running {
		running = append(running, at)
		digests = append(digests, at.Call.Digest)
	}
	se.mu.Unlock()
	surplus := se.holds.ExtraSuspects(digests)
	for _, at := range running {
		if at.Call.Idempotent && slices.Contains(surplus, at.Call.Digest) {
			at.Withdraw()
		}
	}
}

// await probes until the upstream is back. Server.runs counts it.
func (se *Server) await() {
	defer se.runs.Done()
	for {
		select {
		case <-se.ctx.Done():
			return
		case <-se.clk.After(probeEvery):
		}
		if se.reachable() {
			break
		}
	}
	se.mu.Lock()
	se.down = false
	se.mu.Unlock()
	se.log.Info("upstream is back", "upstream", se.up.Name)
	se.event(citronstream.Event{Kind: "UpstreamBack", Upstream: se.up.Name})
	se.Broadcast(citronstream.MethodLoad, se.Load())
	se.dispatch()
}

func (se *Server) reachable() bool {
	ctx, cancel := context.WithTimeout(se.ctx, probeTimeout)
	defer cancel()
	var dl net.Dialer
	nc, err := dl.DialContext(ctx, "tcp", se.up.Address)
	if err != nil {
		// A time-out shows a busy or paused upstream. Only a refused connection
		// shows that its process has ended.
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close()
	return true
}

// sweep forgets old attempts, cancels calls whose entry did not come back, and refuses what waits
// at an upstream that is down.
func (se *Server) sweep() {
	se.attempts.Forget()
	now := se.clk.Now()
	se.mu.Lock()
	down := se.down
	se.mu.Unlock()
	for _, at := range se.attempts.Live() {
		waiting := at.Phase() == attempts.Waiting
		switch {
		case at.Orphaned(now) && (at.Call.Idempotent || waiting):
			se.counts.Orphaned.Add(1)
			se.withdraw(at.Call.AttemptID)
		case waiting && down && se.queue.Remove(at.Call.AttemptID):
			se.refuse(at, citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "upstream %s is down", se.up.Name))
		}
	}
}

func (se *Server) clockNow() uint64 {
	if se.rec == nil {
		return 0
	}
	return se.rec.Now()
}

func (se *Server) clockSeen(at uint64) {
	if se.rec != nil && at != 0 {
		se.rec.Observe(at)
	}
}
