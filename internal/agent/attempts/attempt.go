package attempts

import (
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// Phase is the state of an attempt.
type Phase uint8

// The phases of an attempt.
const (
	Waiting Phase = iota
	Running
	Ended
)

// Peer is the connection to the entry that waits for an attempt.
type Peer interface {
	// Chunk sends a part of the output. It does not wait for the entry.
	Chunk(ch citronstream.Chunk)
	// Reply answers the start or the query with a result.
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
	seq       int // sequence number of the next chunk on the current link
	result    citronstream.Result
	stop      func() // cancels the run, nil while there is none

	endedAt   time.Time // guarded by Table.mu
	keptBytes int       // guarded by Table.mu
}

// Phase returns the current phase.
func (att *Attempt) Phase() Phase {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.phase
}

// OnCancel sets the function that ends the run when the attempt is cancelled. It
// is called at once if the attempt is already cancelled. Nil clears it.
func (att *Attempt) OnCancel(stop func()) {
	att.mu.Lock()
	att.stop = stop
	canceled := att.canceled
	att.mu.Unlock()
	if canceled && stop != nil {
		stop()
	}
}

// Attach sends further output and the result to a peer that already has the
// first bytes of the output. An attempt that has ended replies at once. It
// returns false if the peer has more output than is kept here.
func (att *Attempt) Attach(pe Peer, have, nextSeq int) bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	if have > len(att.output) {
		return false
	}
	att.peer, att.orphaned, att.seq = pe, time.Time{}, nextSeq
	if att.Call.Streams && have < len(att.output) {
		att.send(att.output[have:])
	}
	if att.phase == Ended {
		att.reply()
	}
	return true
}

// Detach records the time at which the peer's link was lost.
func (att *Attempt) Detach(pe Peer, now time.Time) {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.peer == pe {
		att.peer, att.orphaned = nil, now
	}
}

// Peer returns the attached peer, or nil.
func (att *Attempt) Peer() Peer {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.peer
}

// Orphaned reports whether the attempt has been without a peer for longer than
// orphanGrace.
func (att *Attempt) Orphaned(now time.Time) bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.peer == nil && !att.orphaned.IsZero() && now.Sub(att.orphaned) > orphanGrace
}

// Run moves a waiting attempt to running. It returns false if the attempt
// was cancelled or has ended.
func (att *Attempt) Run() bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.phase != Waiting || att.canceled {
		return false
	}
	att.phase = Running
	return true
}

// Cancel asks the attempt to end and returns its phase at the time of the call.
func (att *Attempt) Cancel() Phase {
	att.mu.Lock()
	var stop func()
	if !att.canceled && att.phase != Ended {
		att.canceled, stop = true, att.stop
	}
	phase := att.phase
	att.mu.Unlock()
	if stop != nil {
		stop()
	}
	return phase
}

// Withdraw cancels an attempt that the entry will retry at another upstream.
func (att *Attempt) Withdraw() {
	att.mu.Lock()
	att.withdrawn = true
	att.mu.Unlock()
	att.Cancel()
}

// Withdrawn reports whether Withdraw was called.
func (att *Attempt) Withdrawn() bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.withdrawn
}

// Emit appends to the output, and sends the data if the call streams.
func (att *Attempt) Emit(data []byte) error {
	att.mu.Lock()
	defer att.mu.Unlock()
	att.output = append(att.output, data...)
	if att.Call.Streams && att.peer != nil {
		att.send(data)
	}
	return nil
}

func (att *Attempt) send(data []byte) {
	att.peer.Chunk(citronstream.Chunk{AttemptID: att.Call.AttemptID, Seq: att.seq, Data: data})
	att.seq++
}

// Output returns the output so far.
func (att *Attempt) Output() []byte {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.output
}

// Finish ends the attempt with a result. It drops a second result and returns
// false.
func (att *Attempt) Finish(re citronstream.Result) bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.phase == Ended {
		return false
	}
	att.phase = Ended
	re.AttemptID = att.Call.AttemptID
	att.result = re
	att.reply()
	return true
}

// reply sends the result with the length and checksum of the whole output.
func (att *Attempt) reply() {
	if att.peer == nil {
		return
	}
	re := att.result
	re.Length, re.Checksum, re.Chunks = len(att.output), citronstream.Digest(att.output), att.seq
	if !att.Call.Streams && len(att.output) > 0 {
		re.Body = att.output
	}
	att.peer.Reply(re)
}

func (att *Attempt) size() int {
	att.mu.Lock()
	defer att.mu.Unlock()
	return len(att.output) + len(att.Call.Body)
}
