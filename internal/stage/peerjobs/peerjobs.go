// Package peerjobs keeps the jobs that peers have submitted to the queues of this
// process. Load pattern: links are reset or silent for a moment under load. The jobs
// go on, and the peer asks for them over the next link instead of submitting them
// anew.
package peerjobs

import (
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// keepRunning is how long a job goes on without a link. A peer that lives asks
	// for it at its first attempt to connect, 75 ms after it has noticed the loss;
	// the two sides notice a silence at different times.
	keepRunning = 800 * time.Millisecond
	// keepAnswered is how long a result is kept after it was sent: longer than the
	// silence after which a link counts as lost.
	keepAnswered = 2 * time.Second
	// maxAnswered bounds the number of results that are kept after they were sent.
	maxAnswered = 4096
)

// entry is a job that is running or has ended.
type entry[C comparable] struct {
	attempt string
	conn    C
	answer  func(citronstream.JobResult)
	lostAt  time.Time // when conn was lost; zero while it is open
	// For jobs that have ended.
	ended    bool
	answered bool // the result was sent over a link that was open
	endedAt  time.Time
	result   citronstream.JobResult
}

// Jobs has the jobs of peers. C identifies a link.
type Jobs[C comparable] struct {
	clk      citronstream.Clock
	mu       sync.Mutex
	jobs     map[citronstream.JobKey]*entry[C]
	answered int
}

// New returns an empty set.
func New[C comparable](clk citronstream.Clock) *Jobs[C] {
	return &Jobs[C]{clk: clk, jobs: make(map[citronstream.JobKey]*entry[C])}
}

// Add records a job that was submitted over a link. Answer sends its result.
func (jo *Jobs[C]) Add(conn C, key citronstream.JobKey, attempt string, answer func(citronstream.JobResult)) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.remove(key)
	jo.jobs[key] = &entry[C]{attempt: attempt, conn: conn, answer: answer}
}

// Resume moves a job to another link, or answers with its result if it has ended. It
// returns false if the attempt is not known.
func (jo *Jobs[C]) Resume(conn C, key citronstream.JobKey, attempt string, answer func(citronstream.JobResult)) bool {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	en := jo.jobs[key]
	if en == nil || en.attempt != attempt {
		return false
	}
	en.conn, en.answer, en.lostAt = conn, answer, time.Time{}
	if en.ended {
		jo.send(en)
	}
	return true
}

// End records the result of a job and sends it.
func (jo *Jobs[C]) End(key citronstream.JobKey, attempt string, result citronstream.JobResult) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	en := jo.jobs[key]
	if en == nil || en.attempt != attempt || en.ended {
		return
	}
	en.ended, en.endedAt, en.result = true, jo.clk.Now(), result
	if en.lostAt.IsZero() {
		jo.send(en)
	}
	if jo.answered > maxAnswered {
		jo.remove(key)
	}
}

// send answers a job. The caller holds the lock.
func (jo *Jobs[C]) send(en *entry[C]) {
	if !en.answered {
		jo.answered++
	}
	en.answered, en.endedAt = true, jo.clk.Now()
	en.answer(en.result)
}

// remove forgets a job. The caller holds the lock.
func (jo *Jobs[C]) remove(key citronstream.JobKey) {
	if en := jo.jobs[key]; en != nil {
		if en.answered {
			jo.answered--
		}
		delete(jo.jobs, key)
	}
}

// Conn returns the link over which a running job was submitted or resumed last.
func (jo *Jobs[C]) Conn(key citronstream.JobKey, attempt string) (conn C, ok bool) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if en := jo.jobs[key]; en != nil && en.attempt == attempt && !en.ended {
		return en.conn, true
	}
	return conn, false
}

// Lost records that a link has ended.
func (jo *Jobs[C]) Lost(conn C) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	now := jo.clk.Now()
	for _, en := range jo.jobs {
		if en.conn == conn && en.lostAt.IsZero() {
			en.lostAt = now
		}
	}
}

// Expire forgets the jobs that their peers have not asked for in time. It returns
// those that still run with their attempts, to be canceled, and the results that were never sent, to be
// released.
func (jo *Jobs[C]) Expire() (running map[citronstream.JobKey]string, unsent []citronstream.Release) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	now := jo.clk.Now()
	running = make(map[citronstream.JobKey]string)
	for key, en := range jo.jobs {
		switch {
		case en.answered && now.Sub(en.endedAt) >= keepAnswered:
		case !en.answered && !en.lostAt.IsZero() && now.Sub(en.lostAt) >= keepRunning:
			if !en.ended {
				running[key] = en.attempt
			} else if len(en.result.Handles) > 0 {
				unsent = append(unsent, citronstream.Release{Service: key.Service, Regions: key.Regions, Handles: en.result.Handles})
			}
		default:
			continue
		}
		jo.remove(key)
	}
	return running, unsent
}
