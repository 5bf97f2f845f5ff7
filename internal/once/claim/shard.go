package claim

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
)

// States of an entry.
const (
	running  = iota
	finished // ran, with an answer
	doubtful // may have run
	free     // proved not to have run under this attempt
)

// shardBytes bounds the recorded answers in memory of one slot, 64 MiB in all.
const shardBytes = 1 << 20

// entry is one attempt at a key in memory. The shard's mutex guards the
// fields below it until ended is closed; opID and rq never change.
type entry struct {
	rq     Request
	digest uint64
	slot   int
	opID   string
	epoch  uint64
	at     time.Time
	ended  chan struct{}
	reply  chan outcome // while the claim is in a group; it takes a third of an entry's memory

	state     int
	answer    Answer
	version   uint64 // last known version of the row; 0 means none
	unflushed bool   // may run or ran without a row
	dirty     bool   // waits to be recorded
	held      int64  // bytes counted in Claim.bytes
	element   *list.Element
}

// size is the memory that the entry takes. The text of the key is held twice.
func (en *entry) size() int64 {
	return int64(keyBytes + 2*(len(en.rq.Workspace)+len(en.rq.Key)) + len(en.answer.Body))
}

// hold counts the present size of an entry that waits to be recorded.
func (cl *Claim) hold(en *entry) {
	size := en.size()
	cl.bytes.Add(size - en.held)
	en.held = size
}

// release takes an entry off the count.
func (cl *Claim) release(en *entry) {
	cl.bytes.Add(-en.held)
	en.held = 0
}

// shard holds the keys of one slot.
type shard struct {
	busy    atomic.Int64
	evicted atomic.Int64 // latest claim time of an evicted key, in Unix milliseconds

	mu   sync.Mutex
	keys map[string]*entry
	size int        // bytes of the answers in lru
	lru  *list.List // finished and recorded entries, oldest use first
}

func (sh *shard) init() {
	sh.keys = make(map[string]*entry)
	sh.lru = list.New()
}

func mapKey(rq Request) string { return rq.Workspace + "\x00" + rq.Key }

// enter returns the entry of the key and whether the caller leads it.
func (cl *Claim) enter(sh *shard, rq Request) (*entry, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.keys[mapKey(rq)]
	if old != nil && old.element != nil && cl.clk.Now().Sub(old.at) > cl.keep {
		cl.drop(sh, old)
		old = nil
	}
	if old != nil && old.state != free {
		if old.element != nil {
			sh.lru.MoveToBack(old.element)
		}
		return old, false
	}
	en := &entry{
		rq: rq, digest: rq.Digest, slot: grant.SlotOf(rq.Workspace, rq.Key), opID: citronstream.NewID(),
		at: cl.clk.Now(), ended: make(chan struct{}),
	}
	if old != nil {
		en.version = old.version
		if old.element != nil {
			sh.unlink(old)
		}
	} else {
		cl.keys.Add(1)
	}
	sh.keys[mapKey(rq)] = en
	return en, true
}

// replay gives the first answer. It returns false if the attempt turned out
// not to have run, so that the caller may lead a new one.
func (cl *Claim) replay(sh *shard, en *entry) (Answer, error, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	switch en.state {
	case finished:
		ans := en.answer
		ans.Replayed, ans.Unflushed = true, en.unflushed
		return ans, faultOf(ans), true
	case doubtful:
		cl.inDoubt.Add(1)
		return Answer{}, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeInDoubt, "key %q may have run", en.rq.Key), true
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

// settleEntry ends an attempt and queues what has to be recorded of it.
func (cl *Claim) settleEntry(en *entry, state int, ans Answer, record bool) Answer {
	sh := &cl.shards[en.slot]
	sh.mu.Lock()
	en.state, en.answer = state, ans
	if record {
		en.dirty = true
		sh.busy.Add(1) // until it is recorded
		cl.pending.Add(1)
		cl.hold(en)
	}
	ans.Unflushed = en.unflushed
	close(en.ended)
	cl.retire(sh, en)
	sh.mu.Unlock()
	if record {
		cl.records.push(en)
	}
	return ans
}

// retire makes a finished and recorded entry subject to eviction. Keys in
// memory are bounded by the cap, shared evenly by the slots.
func (cl *Claim) retire(sh *shard, en *entry) {
	if en.dirty || en.state == running || sh.keys[mapKey(en.rq)] != en {
		return
	}
	en.element = sh.lru.PushBack(en)
	sh.size += len(en.answer.Body)
	for sh.lru.Len() > max(1, int(cl.cap)/grant.SlotCount) || sh.size > shardBytes && sh.lru.Len() > 1 {
		old := sh.lru.Front().Value.(*entry)
		sh.evicted.Store(max(sh.evicted.Load(), old.at.UnixMilli()))
		cl.drop(sh, old)
		cl.evicted.Add(1)
	}
}

func (sh *shard) unlink(en *entry) {
	sh.lru.Remove(en.element)
	sh.size -= len(en.answer.Body)
	en.element = nil
}

// drop forgets an entry. The shard's mutex is held.
func (cl *Claim) drop(sh *shard, en *entry) {
	if en.element != nil {
		sh.unlink(en)
	}
	if sh.keys[mapKey(en.rq)] == en {
		delete(sh.keys, mapKey(en.rq))
		cl.keys.Add(-1)
	}
}

// abandon ends an attempt that left no trace: nothing ran and no row was sent.
func (cl *Claim) abandon(en *entry) {
	sh := &cl.shards[en.slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if en.unflushed {
		en.unflushed = false
		cl.unflushed.Add(-1)
	}
	cl.release(en)
	en.state = free
	close(en.ended)
	cl.drop(sh, en)
}

// recorded notes that the table has what it must have of an attempt. It
// reports whether the key had no row before.
func (cl *Claim) recorded(en *entry, version uint64) bool {
	sh := &cl.shards[en.slot]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	first := en.unflushed
	en.dirty, en.unflushed, en.version = false, false, version
	if first {
		cl.unflushed.Add(-1)
		cl.counters.flushed.Add(1)
	}
	cl.release(en)
	cl.counters.records.Add(1)
	cl.pending.Add(-1)
	sh.busy.Add(-1)
	cl.retire(sh, en)
	return first
}
