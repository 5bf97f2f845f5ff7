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

// Timing of the checks of an upstream that does not answer.
const (
	probeTimeout  = 250 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// reportTimeout bounds the wait until the entries have confirmed the report
	// of a death.
	reportTimeout = 500 * time.Millisecond
)

// checkDeath checks, after a call without an answer, whether the upstream has
// died. The first call that detects a death reports the contents of the calls
// that were running. Ran means that this call may have been running.
func (se *Server) checkDeath(inc uint64, ran bool) bool {
	if se.reachable() {
		se.mu.Lock()
		died, told := se.incarnation != inc && ran, se.deathReported
		se.mu.Unlock()
		if died {
			<-told
		}
		return died
	}
	se.mu.Lock()
	if se.incarnation != inc || se.down {
		told := se.deathReported
		se.mu.Unlock()
		<-told
		return true
	}
	se.incarnation++
	nth := se.incarnation
	told := make(chan struct{})
	defer close(told)
	se.down, se.deathReported = true, told
	digests := make([]uint64, 0, len(se.running))
	for _, att := range se.running {
		digests = append(digests, att.Call.Digest)
	}
	se.mu.Unlock()
	se.upstreamDied(nth, digests)
	return true
}

func (se *Server) upstreamDied(nth uint64, digests []uint64) {
	se.counts.Deaths.Add(1)
	se.log.Info("upstream died", "upstream", se.up.Name, "running", len(digests))
	se.event(citronstream.Event{Kind: "UpstreamDied", Upstream: se.up.Name})
	if se.holds != nil && len(digests) > 0 {
		report := poison.Report{
			ID: poison.DeathID(se.up.Name, se.deathEpoch(), nth), Upstream: se.up.Name, At: se.clk.Now(), Running: digests,
		}
		report.Held = se.holds.Merge(report)
		se.report(report)
	}
	se.Broadcast(citronstream.MethodLoad, se.Load())
	se.runs.Add(1)
	go se.awaitUpstream()
}

// deathEpoch distinguishes the deaths that this process numbers from those that
// an earlier process numbered.
func (se *Server) deathEpoch() uint64 {
	if epoch := se.epoch(); epoch != 0 {
		return epoch
	}
	return se.startedNs
}

// report sends the report of a death to the entries and waits until they have
// confirmed it, or reportTimeout has passed. The calls that ended with the death
// are answered only then. Otherwise a caller that retries at once through another
// entry could outrun the report and make one more upstream crash.
func (se *Server) report(report poison.Report) {
	ctx, cancel := context.WithCancel(se.ctx)
	defer cancel()
	defer se.clk.AfterFunc(reportTimeout, cancel).Stop()
	var wg sync.WaitGroup
	se.Links(func(_ string, li *link.Link) {
		wg.Go(func() { _ = li.Call(ctx, citronstream.MethodPoison, report, nil) })
	})
	wg.Wait()
}

// withdrawExtraSuspects cancels suspect calls that run beside another one,
// so that the next death identifies its cause. Their entries retry them at other
// upstreams.
func (se *Server) withdrawExtraSuspects() {
	se.mu.Lock()
	running := make([]*attempts.Attempt, 0, len(se.running))
	digests := make([]uint64, 0, len(se.running))
	for _, att := range se.running {
		running = append(running, att)
		digests = append(digests, att.Call.Digest)
	}
	se.mu.Unlock()
	surplus := se.holds.ExtraSuspects(digests)
	for _, att := range running {
		if att.Call.Idempotent && slices.Contains(surplus, att.Call.Digest) {
			att.Withdraw()
		}
	}
}

// awaitUpstream probes the upstream until it accepts connections again.
// Server.runs waits for it.
func (se *Server) awaitUpstream() {
	defer se.runs.Done()
	for {
		select {
		case <-se.ctx.Done():
			return
		case <-se.clk.After(probeInterval):
		}
		if se.reachable() {
			break
		}
	}
	se.mu.Lock()
	se.down = false
	se.mu.Unlock()
	se.log.Info("upstream is reachable again", "upstream", se.up.Name)
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
		// After a timeout the upstream may only be busy or paused. A refused
		// connection means that its process has ended.
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close()
	return true
}

// sweep drops expired attempts, cancels calls whose entry has not reconnected,
// and refuses waiting calls while the upstream is down.
func (se *Server) sweep() {
	se.attempts.Forget()
	now := se.clk.Now()
	se.mu.Lock()
	down := se.down
	se.mu.Unlock()
	for _, att := range se.attempts.Live() {
		waiting := att.Phase() == attempts.Waiting
		switch {
		case att.Orphaned(now) && (att.Call.Idempotent || waiting):
			se.counts.Orphaned.Add(1)
			se.cancelAttempt(att.Call.AttemptID)
		case waiting && down && se.queue.Remove(att.Call.AttemptID):
			se.refuse(att, citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "upstream %s is down", se.up.Name))
		}
	}
}

func (se *Server) clockNow() uint64 {
	if se.rec == nil {
		return 0
	}
	return se.rec.Now()
}

func (se *Server) observeClock(att uint64) {
	if se.rec != nil && att != 0 {
		se.rec.Observe(att)
	}
}
