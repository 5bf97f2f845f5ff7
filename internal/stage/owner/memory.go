package owner

import (
	"time"

	"github.com/citronstream/citronstream/internal/fleet/node"
)

// roomFor returns the number of results of a size that fit into an upstream's
// free memory besides the bytes already assigned to the batch.
func (ow *Owner) roomFor(sv *server, bytes, taken int, now time.Time) int {
	if ow.spec.ResultBytes <= 0 || bytes <= 0 {
		return ow.spec.Items
	}
	free := ow.spec.ResultBytes - sv.used - taken - sv.unknownNow(now, ow.spec.ResultLife)
	return max(0, int(float64(free)/(float64(bytes)*ow.sizeFactor)))
}

// roomForAll reports whether the upstreams together have memory for all results of a
// job. Jobs that are begun in parts without that would hold the memory that the
// rest of each of them waits for.
func (ow *Owner) roomForAll(jb *job, now time.Time) bool {
	room, usable := 0, 0
	for _, sv := range ow.list {
		if sv.Avoided(now) {
			continue
		}
		usable++
		if room += ow.roomFor(sv, jb.Bytes, 0, now); room >= len(jb.pending) {
			return true
		}
	}
	return len(jb.pending) < len(jb.Pieces) || usable*ow.spec.ResultBytes < len(jb.pending)*jb.Bytes
}

// minBatchRoom returns the number of results that must fit before an upstream
// gets a batch. With a backlog and little memory, a batch of a few items would
// occupy the upstream for a whole call while memory is about to be released.
func (ow *Owner) minBatchRoom(sv *server, pending int, now time.Time) int {
	if now.Sub(sv.idleSince) > ow.spec.CallTime {
		return 1
	}
	return max(1, min(pending, ow.spec.Items)/2)
}

// unknownNow returns the bytes of unknown results. They expire within the
// lifetime of a result.
func (sv *server) unknownNow(now time.Time, life time.Duration) int {
	if sv.unknownBytes == 0 || life <= 0 {
		return 0
	}
	return int(float64(sv.unknownBytes) * max(0, 1-float64(now.Sub(sv.unknownAt))/float64(life)))
}

// forgetUnknown subtracts a released result from the unknown ones.
func (sv *server) forgetUnknown(bytes int, now time.Time, life time.Duration) {
	if left := sv.unknownNow(now, life); left > 0 {
		sv.unknownBytes = int(float64(sv.unknownBytes) * float64(max(0, left-bytes)) / float64(left))
	}
}

// queryFreeMemory asks the upstreams how much memory is free, as results of an
// earlier owner may occupy some. The caller holds the lock.
func (ow *Owner) queryFreeMemory(now time.Time) {
	for _, sv := range ow.list {
		ow.queryMemoryOf(sv, now, true)
	}
}

// queryMemoryOf asks one upstream, at the begin of this owner or later. The caller
// holds the lock.
func (ow *Owner) queryMemoryOf(sv *server, now time.Time, begins bool) {
	used := sv.used
	sv.askedAt = now
	ow.calls.Go(func() {
		least, most, err := ow.batcher.Free(ow.ctx, sv.Node)
		if err != nil {
			ow.log.Info("free memory of upstream unknown", "service", ow.service, "upstream", sv.ID, "reason", err.Error())
			return
		}
		ow.mu.Lock()
		defer ow.mu.Unlock()
		now := ow.clk.Now()
		known := min(sv.unknownNow(now, ow.spec.ResultLife), ow.spec.ResultBytes-least-used)
		sv.unknownBytes, sv.unknownAt = max(0, known, ow.spec.ResultBytes-most-used), now
		if begins && sv.unknownBytes > 0 {
			sv.foreignUntil = now.Add(ow.spec.ResultLife)
		}
	})
}

// pollMemory asks the upstreams again at which unknown results take memory. They go
// when their requests have used them, mostly before their lifetime ends.
func (ow *Owner) pollMemory(now time.Time) {
	if ow.closed || len(ow.waiting) == 0 {
		return
	}
	for _, sv := range ow.list {
		if now.Sub(sv.askedAt) >= memoryPoll && !sv.Avoided(now) && sv.unknownNow(now, ow.spec.ResultLife) > 0 {
			ow.queryMemoryOf(sv, now, false)
		}
	}
}

// Release releases results, of this owner or an earlier one. Bytes is the size of
// each, by which the memory that is taken by unknown results shrinks.
func (ow *Owner) Release(handles []string, bytes int, at func(handle string) *node.Node) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	byNode := make(map[*node.Node][]string)
	for _, handle := range handles {
		if nd := at(handle); nd != nil {
			byNode[nd] = append(byNode[nd], handle)
		}
	}
	for nd, list := range byNode {
		ow.release(nd, list, bytes)
	}
}

// release releases results of one upstream. Their memory counts as free only
// after the upstream has answered, as a batch may overtake the call. The caller
// holds the lock.
func (ow *Owner) release(nd *node.Node, handles []string, bytes int) {
	if ow.closed {
		return // the upstream drops them by itself
	}
	ow.calls.Go(func() {
		ow.batcher.Release(ow.ctx, nd, handles)
		ow.mu.Lock()
		defer ow.mu.Unlock()
		if sv := ow.servers[nd]; sv != nil {
			now := ow.clk.Now()
			for _, handle := range handles {
				re, known := sv.results[handle]
				if !known {
					sv.forgetUnknown(bytes, now, ow.spec.ResultLife)
				}
				sv.used -= re.bytes
				delete(sv.results, handle)
			}
		}
		ow.dispatch()
	})
}

// releaseResults releases the results of a job that will not be used.
func (ow *Owner) releaseResults(jb *job) {
	for _, sv := range ow.list {
		var handles []string
		for _, handle := range jb.handles {
			if _, ok := sv.results[handle]; ok {
				handles = append(handles, handle)
			}
		}
		if len(handles) > 0 {
			ow.release(sv.Node, handles, jb.Bytes)
		}
	}
}
