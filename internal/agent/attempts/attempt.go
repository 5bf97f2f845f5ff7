package attempts

import (
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// Phase is where an attempt stands.
type Phase uint8

// The phases of an attempt.
const (
	Waiting Phase = iota
	Running
	Ended
)

// Peer is the entry's end of an attempt.
type Peer interface {
	// Chunk sends a part of the answer. It does not wait for the entry.
	Chunk(ch citronstream.Chunk)
	// Reply answers the start or the query.
	Reply(re citronstream.Result)
}

// Attempt is one attempt at a call.
type Attempt struct {
	Call     citronstream.Call
	Arrived  time.Time
	Deadline time.Time

	mu        sync.Mutex
	phase     Phase
	canceled  bool
	withdrawn bool
	tombstone bool
	peer      Peer
	orphaned  time.Time
	output    []byte
	seq       int // sequence number of the next chunk on the present link
	result    citronstream.Result
	stop      func() // ends the run, nil while there is none

	endedAt time.Time // guarded by Table.mu
	kept    int       // guarded by Table.mu
}

// Phase returns the present phase.
func (at *Attempt) Phase() Phase {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.phase
}

// OnCancel sets what ends the run when the attempt is cancelled. It is called
// at once if that has happened already. Nil clears it.
func (at *Attempt) OnCancel(stop func()) {
	at.mu.Lock()
	at.stop = stop
	canceled := at.canceled
	at.mu.Unlock()
	if canceled && stop != nil {
		stop()
	}
}

// Attach directs the answer to a peer that already has the first bytes of
// the output. An attempt that has ended answers at once. It returns false
// if the output that the peer lacks is no longer kept.
func (at *Attempt) Attach(pe Peer, have, nextSeq int) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if have > len(at.output) {
		return false
	}
	at.peer, at.orphaned, at.seq = pe, time.Time{}, nextSeq
	if at.Call.Streams && have < len(at.output) {
		at.send(at.output[have:])
	}
	if at.phase == Ended {
		at.reply()
	}
	return true
}

// Detach notes at which time the peer's link was lost.
func (at *Attempt) Detach(pe Peer, now time.Time) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.peer == pe {
		at.peer, at.orphaned = nil, now
	}
}

// Peer returns the attached peer, or nil.
func (at *Attempt) Peer() Peer {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.peer
}

// Orphaned says whether the attempt has been without a peer for longer than the grace period.
func (at *Attempt) Orphaned(now time.Time) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.peer == nil && !at.orphaned.IsZero() && now.Sub(at.orphaned) > orphanGrace
}

// Run moves a waiting attempt to running. It returns false if the attempt
// was cancelled or has ended.
func (at *Attempt) Run() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.phase != Waiting || at.canceled {
		return false
	}
	at.phase = Running
	return true
}

// Cancel asks the attempt to end and returns its phase at that moment.
func (at *Attempt) Cancel() Phase {
	at.mu.Lock()
	var stop func()
	if !at.canceled && at.phase != Ended {
		at.canceled, stop = true, at.stop
	}
	phase := at.phase
	at.mu.Unlock()
	if stop != nil {
		stop()
	}
	return phase
}

// Withdraw cancels an attempt that is to be made again elsewhere.
func (at *Attempt) Withdraw() {
	at.mu.Lock()
	at.withdrawn = true
	at.mu.Unlock()
	at.Cancel()
}

// Withdrawn says whether Withdraw was called.
func (at *Attempt) Withdrawn() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.withdrawn
}

// Emit adds a part of the output and sends it on.
func (at *Attempt) Emit(data []byte) error {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.output = append(at.output, data...)
	if at.Call.Streams && at.peer != nil {
		at.send(data)
	}
	return nil
}

func (at *Attempt) send(data []byte) {
	at.peer.Chunk(citronstream.Chunk{AttemptID: at.Call.AttemptID, Seq: at.seq, Data: data})
	at.seq++
}

// Output returns the output so far.
func (at *Attempt) Output() []byte {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.output
}

// Finish ends the attempt with a result. A second result is dropped and
// reported by false.
func (at *Attempt) Finish(re citronstream.Result) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.phase == Ended {
		return false
	}
	at.phase = Ended
	re.AttemptID = at.Call.AttemptID
	at.result = re
	at.reply()
	return true
}

// reply seals the result with the length and checksum of the whole output.
func (at *Attempt) reply() {
	if at.peer == nil {
		return
	}
	re := at.result
	re.Length, re.Checksum, re.Chunks = len(at.output), citronstream.Digest(at.output), at.seq
	if !at.Call.Streams && len(at.output) > 0 {
		re.Body = at.output
	}
	at.peer.Reply(re)
}

func (at *Attempt) size() int {
	at.mu.Lock()
	defer at.mu.Unlock()
	return len(at.output) + len(at.Call.Body)
}
