package flow

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/citronstream/citronstream"
)

const (
	// panicReason is the reason of requests that ended by a panic.
	panicReason = "panic"
	// maxStack bounds the logged stack of a panic, in bytes.
	maxStack = 8 << 10
)

// stagePanic is a panic of the goroutine of a stage.
type stagePanic struct {
	value any
	stack []byte
}

// setPanic records the first panic.
func (sg *stages) setPanic(sp *stagePanic) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	if sg.panicked == nil {
		sg.panicked = sp
	}
}

// serveSafely runs the request and ends it if it panics.
func (rt *request) serveSafely() (out outcome) {
	defer func() {
		if value := recover(); value != nil {
			out = rt.recovered(value, debug.Stack())
		}
	}()
	return rt.serve()
}

// recovered ends a request that has panicked. Nothing is known of what became of it at an
// upstream.
func (rt *request) recovered(value any, stack []byte) outcome {
	if value == http.ErrAbortHandler {
		panic(value)
	}
	if sp, ok := value.(*stagePanic); ok {
		value, stack = sp.value, sp.stack
	}
	rt.recordPanic(value, stack)
	fa := citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeInternal, "internal error")
	if rt.started {
		return outcome{reason: panicReason, fault: fa, abort: true}
	}
	clear(rt.wr.Header())
	rt.wr.Header().Set("Connection", "close")
	out := rt.respond(http.StatusBadGateway, 0, fa)
	out.reason = panicReason
	return out
}

// recordPanic logs and counts a panic.
func (rt *request) recordPanic(value any, stack []byte) {
	rt.fl.panics.Add(1)
	rt.fl.log.Error(fmt.Errorf("%v", value), "request panicked", "request", rt.ID, "stack", string(stack[:min(len(stack), maxStack)]))
}

// guard returns a task for another goroutine than that of the request. Its panic does not
// end the process.
func (rt *request) guard(task func()) func() {
	return func() {
		defer func() {
			if value := recover(); value != nil {
				rt.recordPanic(value, debug.Stack())
			}
		}()
		task()
	}
}
