package engine

import (
	"context"
	"slices"
	"time"

	"github.com/citronstream/citronstream/internal/standin/host"
	"github.com/citronstream/citronstream/internal/standin/record"
)

// maxWaiting bounds the engine's own queue; above it a request is answered 503.
const maxWaiting = 4096

// sequence is one generation.
type sequence struct {
	ctx       context.Context
	prompt    string
	priority  int
	maxTokens int
	poison    bool
	execution record.Execution
	out       chan string // holds maxTokens, so that the batch never waits for a reader

	// owned by the batch once the sequence runs
	id   uint64 // in the record; under Server.mu
	gen  *generator
	made int
}

// enqueue adds a sequence to the queue, after those of its priority.
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
	se.noteLoad()
	se.mu.Unlock()
	select {
	case se.wake <- struct{}{}:
	default:
	}
	return true
}

// batch makes steps while there are sequences, until life ends.
func (se *Server) batch(life context.Context) {
	for {
		prefill, size := se.admit()
		if size == 0 {
			select {
			case <-se.wake:
				continue
			case <-life.Done():
				return
			}
		}
		took := se.step + time.Duration(size)*se.stepEach + prefill
		if se.Sleep(life, took) != nil {
			return
		}
		if se.killedByPoison() {
			return
		}
		se.emit()
	}
}

// admit fills the batch from the queue. It returns the prefill time of the
// admitted prompts and the size of the batch.
func (se *Server) admit() (time.Duration, int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	gone := func(sq *sequence) bool { return sq.ctx.Err() != nil }
	se.waiting = slices.DeleteFunc(se.waiting, gone)
	se.running = slices.DeleteFunc(se.running, gone)
	var prefill time.Duration
	for len(se.waiting) > 0 && len(se.running) < se.capacity {
		sq := se.waiting[0]
		se.waiting = slices.Delete(se.waiting, 0, 1)
		blocks := Blocks(sq.prompt)
		cached := se.ca.match(blocks) * BlockBytes
		uncached := len(sq.prompt) - cached
		se.prompted.Add(uint64(len(sq.prompt) / bytesPerToken))
		se.reused.Add(uint64(cached / bytesPerToken))
		se.ca.add(blocks)
		prefill += time.Duration(uncached/bytesPerToken) * se.prefill
		sq.id, sq.gen = se.log.Begin(sq.execution), newGenerator(sq.prompt)
		se.running = append(se.running, sq)
	}
	se.noteLoad()
	return prefill, len(se.running)
}

// killedByPoison kills the engine if a sequence of the batch carries the marker.
func (se *Server) killedByPoison() bool {
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

// emit makes one token for each sequence of the batch and removes the complete ones.
func (se *Server) emit() {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.running = slices.DeleteFunc(se.running, func(sq *sequence) bool {
		if sq.ctx.Err() != nil {
			return true
		}
		sq.out <- sq.gen.next()
		sq.made++
		if sq.made < sq.maxTokens {
			return false
		}
		close(sq.out)
		return true
	})
	se.noteLoad()
}

// end records the end of a sequence whose context ended, if it ran at all.
func (se *Server) end(sq *sequence) {
	se.mu.Lock()
	id := sq.id
	se.mu.Unlock()
	if id != 0 {
		se.log.End(id, 0, host.Outcome(sq.ctx))
	}
}

// noteLoad keeps the load for the lagging report. It needs mu.
func (se *Server) noteLoad() {
	se.load.note(len(se.running), len(se.waiting), se.ca.usage())
}
