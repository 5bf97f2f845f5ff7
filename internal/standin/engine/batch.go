package engine

import (
	"context"
	"slices"
	"time"

	"github.com/citronstream/citronstream/internal/standin/host"
	"github.com/citronstream/citronstream/internal/standin/record"
)

// maxWaiting bounds the engine's own queue; further requests are answered with 503.
const maxWaiting = 4096

// sequence is one generation.
type sequence struct {
	ctx       context.Context
	prompt    string
	priority  int
	maxTokens int
	poison    bool
	execution record.Execution
	tokens    chan string // buffers maxTokens, so that a slow reader never blocks the batch

	// used only by the batch loop once the sequence runs
	id        uint64 // in the execution log; guarded by Server.mu
	gen       *generator
	generated int
}

// enqueue adds a sequence after those of the same priority. It returns false
// when the queue is full.
func (se *Server) enqueue(sq *sequence) bool {
	se.mu.Lock()
	if len(se.waiting) >= maxWaiting {
		se.mu.Unlock()
		return false
	}
	at := len(se.waiting)
	for at > 0 && se.waiting[at-1].priority > sq.priority {
		at--
	}
	se.waiting = slices.Insert(se.waiting, at, sq)
	se.recordLoad()
	se.mu.Unlock()
	select {
	case se.wake <- struct{}{}:
	default:
	}
	return true
}

// batch runs steps while there are sequences, until run ends.
func (se *Server) batch(run context.Context) {
	for {
		prefill, size := se.admit()
		if size == 0 {
			select {
			case <-se.wake:
				continue
			case <-run.Done():
				return
			}
		}
		took := se.step + time.Duration(size)*se.stepEach + prefill
		if se.Sleep(run, took) != nil {
			return
		}
		if se.crashIfPoisoned() {
			return
		}
		se.generateTokens()
	}
}

// admit fills the batch from the queue. It returns the prefill time of the
// admitted prompts and the size of the batch.
func (se *Server) admit() (time.Duration, int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	ended := func(sq *sequence) bool { return sq.ctx.Err() != nil }
	se.waiting = slices.DeleteFunc(se.waiting, ended)
	se.running = slices.DeleteFunc(se.running, ended)
	var prefill time.Duration
	for len(se.waiting) > 0 && len(se.running) < se.capacity {
		sq := se.waiting[0]
		se.waiting = slices.Delete(se.waiting, 0, 1)
		blocks := Blocks(sq.prompt)
		cached := se.prefixCache.match(blocks) * BlockBytes
		uncached := len(sq.prompt) - cached
		se.promptTokens.Add(uint64(len(sq.prompt) / bytesPerToken))
		se.cachedTokens.Add(uint64(cached / bytesPerToken))
		se.prefixCache.add(blocks)
		prefill += time.Duration(uncached/bytesPerToken) * se.prefill
		sq.id, sq.gen = se.log.Begin(sq.execution), newGenerator(sq.prompt)
		se.running = append(se.running, sq)
	}
	se.recordLoad()
	return prefill, len(se.running)
}

// crashIfPoisoned kills the engine if a prompt in the batch contains host.PoisonMarker.
func (se *Server) crashIfPoisoned() bool {
	se.mu.Lock()
	at := slices.IndexFunc(se.running, func(sq *sequence) bool { return sq.poison })
	if at < 0 {
		se.mu.Unlock()
		return false
	}
	id := se.running[at].id
	se.mu.Unlock()
	se.log.End(id, 0, record.Poisoned)
	se.Kill()
	return true
}

// generateTokens generates one token for each sequence of the batch and removes finished sequences.
func (se *Server) generateTokens() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.running = slices.DeleteFunc(se.running, func(sq *sequence) bool {
		if sq.ctx.Err() != nil {
			return true
		}
		sq.tokens <- sq.gen.next()
		sq.generated++
		if sq.generated < sq.maxTokens {
			return false
		}
		close(sq.tokens)
		return true
	})
	se.recordLoad()
}

// recordEnd records the end of a started sequence whose context ended.
func (se *Server) recordEnd(sq *sequence) {
	se.mu.Lock()
	id := sq.id
	se.mu.Unlock()
	if id != 0 {
		se.log.End(id, 0, host.Outcome(sq.ctx))
	}
}

// recordLoad records the load for the delayed report. The caller holds mu.
func (se *Server) recordLoad() {
	se.load.add(len(se.running), len(se.waiting), se.prefixCache.usedRatio())
}
