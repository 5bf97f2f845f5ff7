package wakeup

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// testGate is a Gate whose reads end when the test says so.
type testGate struct {
	*Gate
	clk       *clockwork.FakeClock
	suspended atomic.Int64
	reads     chan chan error // one for each read that has begun
	stop      func()
}

func newTestGate(t *testing.T) *testGate {
	tg := &testGate{clk: clockwork.NewFakeClock(), reads: make(chan chan error)}
	tg.Gate = New(tg.clk, logr.Discard(), func() time.Duration { return time.Duration(tg.suspended.Load()) }, func(ctx context.Context) error {
		end := make(chan error)
		tg.reads <- end
		select {
		case err := <-end:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		tg.Run(ctx)
	}()
	tg.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(tg.stop)
	return tg
}

// pass returns a channel that is closed when Pass returns.
func (tg *testGate) pass() chan struct{} {
	passed := make(chan struct{})
	go func() {
		defer close(passed)
		tg.Pass(context.Background())
	}()
	return passed
}

func assertHeld(t *testing.T, tg *testGate, passed chan struct{}) {
	t.Helper()
	assert.True(t, tg.Held())
	select {
	case <-passed:
		assert.Fail(t, "passed before the rows were read again")
	default:
	}
}

// After a pause work waits for one read; that it fails or hangs holds nothing back.
func TestPauses(t *testing.T) {
	for name, pause := range map[string]func(tg *testGate){
		"steady clock": func(tg *testGate) { tg.clk.Advance(maxGap + time.Millisecond) },
		"suspended":    func(tg *testGate) { tg.suspended.Add(int64(maxGap + time.Millisecond)) },
	} {
		for end, finish := range map[string]func(tg *testGate, read chan error){
			"read":  func(_ *testGate, read chan error) { read <- nil },
			"error": func(_ *testGate, read chan error) { read <- errors.New("store away") },
			"hangs": func(tg *testGate, _ chan error) { tg.clk.Advance(maxWait) },
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				tg := newTestGate(t)
				pause(tg)
				passed := tg.pass()
				read := <-tg.reads
				assertHeld(t, tg, passed)
				finish(tg, read)
				<-passed
				assert.Eventually(t, func() bool { return !tg.Held() }, 10*time.Second, time.Millisecond)
			})
		}
	}
}

// Work does not wait in a process that runs.
func TestNoPause(t *testing.T) {
	tg := newTestGate(t)
	for range 20 {
		tg.clk.Advance(maxGap / 2)
		assert.False(t, tg.Held())
		<-tg.pass()
	}
}

// A caller that leaves is not waited for.
func TestPassEnds(t *testing.T) {
	tg := newTestGate(t)
	tg.clk.Advance(2 * maxGap)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tg.Pass(ctx)
	<-tg.reads
}
