package claim

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// States of an attempt.
const (
	running    = iota
	finished   // ran, with an answer
	mayHaveRun // may have run
	notRun     // this attempt is proved not to have run
)

// maxShardBytes limits the recorded answers in memory per slot, 64 MiB in total.
const maxShardBytes = 1 << 20

// attempt is one attempt to run a key, and the key's record in memory. The
// shard's mutex guards the fields from state on; state and answer are final once
// ended is closed. opID and rq never change.
type attempt struct {
	rq     Request
	digest uint64
	slot   int
	opID   string
	epoch  uint64
	at     time.Time
	ended  chan struct{}
	reply  chan outcome // set only while the claim waits, as it takes a third of an attempt's memory

	state     int
	answer    Answer
	version   uint64 // last known version of the row; 0 if there is none
	unflushed bool   // runs or has run without a row
	dirty     bool   // waits to be recorded
	counted   int64  // bytes counted in Claim.bytes
	element   *list.Element
}

// size estimates the memory of the attempt. The text of the key is stored twice.
func (att *attempt) size() int64 {
	return int64(keyOverheadBytes + 2*(len(att.rq.Workspace)+len(att.rq.Key)) + len(att.answer.Body))
}

// countBytes counts the current size of an attempt that waits to be recorded.
func (cl *Claim) countBytes(att *attempt) {
	size := att.size()
	cl.bytes.Add(size - att.counted)
	att.counted = size
}

// uncountBytes removes an attempt from the count.
func (cl *Claim) uncountBytes(att *attempt) {
	cl.bytes.Add(-att.counted)
	att.counted = 0
}

// shard holds the attempts of one slot.
type shard struct {
	busy    atomic.Int64
	evicted atomic.Int64 // latest start of an evicted attempt, in Unix milliseconds

	mu   sync.Mutex
	keys map[string]*attempt
	size int        // bytes of the answers in lru
	lru  *list.List // recorded attempts, least recently used first
}

func (sh *shard) init() {
	sh.keys = make(map[string]*attempt)
	sh.lru = list.New()
}

func mapKey(rq Request) string { return rq.Workspace + "\x00" + rq.Key }

// attemptFor returns the attempt of the key. It returns true if the attempt is
// new, so that the caller has to run it.
func (cl *Claim) attemptFor(sh *shard, rq Request) (*attempt, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.keys[mapKey(rq)]
	if old != nil && old.element != nil && cl.clk.Now().Sub(old.at) > cl.retention {
		cl.drop(sh, old)
		old = nil
	}
	if old != nil && old.state != notRun {
		if old.element != nil {
			sh.lru.MoveToBack(old.element)
		}
		return old, false
	}
	att := &attempt{
		rq: rq, digest: rq.Digest, slot: grant.SlotOf(rq.Workspace, rq.Key), opID: citronstream.NewID(),
		at: cl.clk.Now(), ended: make(chan struct{}),
	}
	if old != nil {
		att.version = old.version
		if old.element != nil {
			sh.unlink(old)
		}
	} else {
		cl.keys.Add(1)
	}
	sh.keys[mapKey(rq)] = att
	return att, true
}

// replay returns the result of an ended attempt. It returns false if the
// attempt did not run, so that the caller may start a new one.
func (cl *Claim) replay(sh *shard, att *attempt) (Answer, error, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	switch att.state {
	case finished:
		ans := att.answer
		ans.Replayed, ans.Unflushed = true, att.unflushed
		return ans, faultOf(ans), true
	case mayHaveRun:
		cl.inDoubt.Add(1)
		return Answer{}, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeInDoubt, "key %q may have run", att.rq.Key), true
	default:
		return Answer{}, nil, false
	}
}

func faultOf(ans Answer) error {
	if ans.Fault == nil {
		return nil
	}
	return ans.Fault
}

// endAttempt sets the result of an attempt and, with record, queues it to be
// recorded.
func (cl *Claim) endAttempt(att *attempt, state int, ans Answer, record bool) Answer {
	sh := &cl.shards[att.slot]
	sh.mu.Lock()
	att.state, att.answer = state, ans
	if record {
		att.dirty = true
		sh.busy.Add(1) // until it is recorded
		cl.pending.Add(1)
		cl.countBytes(att)
	}
	ans.Unflushed = att.unflushed
	close(att.ended)
	cl.makeEvictable(sh, att)
	sh.mu.Unlock()
	if record {
		cl.records.push(att)
	}
	return ans
}

// makeEvictable adds an ended and recorded attempt to the LRU list and evicts
// attempts over the limits. Each slot may hold an equal part of maxKeys.
func (cl *Claim) makeEvictable(sh *shard, att *attempt) {
	if att.dirty || att.state == running || sh.keys[mapKey(att.rq)] != att {
		return
	}
	att.element = sh.lru.PushBack(att)
	sh.size += len(att.answer.Body)
	for sh.lru.Len() > max(1, int(cl.maxKeys)/grant.SlotCount) || sh.size > maxShardBytes && sh.lru.Len() > 1 {
		old := sh.lru.Front().Value.(*attempt)
		sh.evicted.Store(max(sh.evicted.Load(), old.at.UnixMilli()))
		cl.drop(sh, old)
		cl.evicted.Add(1)
	}
}

func (sh *shard) unlink(att *attempt) {
	sh.lru.Remove(att.element)
	sh.size -= len(att.answer.Body)
	att.element = nil
}

// drop removes an attempt from memory. The caller holds the shard's mutex.
func (cl *Claim) drop(sh *shard, att *attempt) {
	if att.element != nil {
		sh.unlink(att)
	}
	if sh.keys[mapKey(att.rq)] == att {
		delete(sh.keys, mapKey(att.rq))
		cl.keys.Add(-1)
	}
}

// discard ends and removes an attempt that neither ran nor sent a row.
func (cl *Claim) discard(att *attempt) {
	sh := &cl.shards[att.slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if att.unflushed {
		att.unflushed = false
		cl.unflushed.Add(-1)
	}
	cl.uncountBytes(att)
	att.state = notRun
	close(att.ended)
	cl.drop(sh, att)
}

// markRecorded marks an attempt as recorded in the table. It reports whether the
// key was unflushed before.
func (cl *Claim) markRecorded(att *attempt, version uint64) bool {
	sh := &cl.shards[att.slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	first := att.unflushed
	att.dirty, att.unflushed, att.version = false, false, version
	if first {
		cl.unflushed.Add(-1)
		cl.counters.flushed.Add(1)
	}
	cl.uncountBytes(att)
	cl.counters.records.Add(1)
	cl.pending.Add(-1)
	sh.busy.Add(-1)
	cl.makeEvictable(sh, att)
	return first
}
