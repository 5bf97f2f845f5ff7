package partquarantine

import (
	"container/list"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// Urgent receives a value when the peers should be told of a sound run at once: they
// refuse requests for the part.
func (qu *Quarantine) Urgent() <-chan struct{} { return qu.urgent }

// tell queues a sound run for the peers.
func (qu *Quarantine) tell(part uint64, at time.Time) {
	if _, known := qu.unsent[part]; !known && len(qu.unsent) >= maxUnsent {
		return
	}
	qu.unsent[part] = at
	select {
	case qu.urgent <- struct{}{}:
	default:
	}
}

// TakeUnsent returns what the peers have to be told: the sound runs of suspect parts
// that were seen here, and new holds for which this entry had requests in flight.
func (qu *Quarantine) TakeUnsent() (sound []citronstream.SoundPart, holds []citronstream.SuspectPart) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	now := qu.clk.Now()
	for part, at := range qu.unsent {
		sound = append(sound, citronstream.SoundPart{Part: part, Age: now.Sub(at)})
	}
	clear(qu.unsent)
	for _, part := range qu.untold {
		if rec := qu.lookup(part, now); rec != nil && rec.held() {
			holds = append(holds, rec.export(now))
		}
	}
	qu.untold = nil
	return sound, holds
}

// MergeSound applies sound runs that a peer has seen.
func (qu *Quarantine) MergeSound(sound []citronstream.SoundPart, source string) {
	qu.mu.Lock()
	defer qu.unlock()
	now := qu.clk.Now()
	for _, so := range sound[:min(len(sound), maxUnsent)] {
		at := now.Add(-max(0, so.Age))
		qu.ran(so.Part, at, source)
		if told, ok := qu.unsent[so.Part]; ok && !told.After(at) {
			delete(qu.unsent, so.Part)
		}
	}
}

// Export returns the held and the suspect parts for a peer, most recently used first.
func (qu *Quarantine) Export() []citronstream.SuspectPart {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	now := qu.clk.Now()
	var records []citronstream.SuspectPart
	for _, from := range []*list.List{qu.records.holds, qu.records.suspects} {
		for el := from.Front(); el != nil && len(records) < maxRecords; el = el.Next() {
			rec := el.Value.(*record)
			if sp := rec.export(now); !rec.held() || sp.Held > 0 {
				records = append(records, sp)
			}
		}
	}
	return records
}

func (rec *record) export(now time.Time) citronstream.SuspectPart {
	sp := citronstream.SuspectPart{Part: rec.part}
	if rec.held() {
		sp.Held = rec.heldUntil.Sub(now)
	}
	for _, cr := range rec.crashes {
		sp.Crashes = append(sp.Crashes, citronstream.PartCrash{Death: cr.death, Age: now.Sub(cr.at), Requests: slices.Clone(cr.requests), Explained: cr.explained})
	}
	return sp
}

// Import merges the records of a peer.
func (qu *Quarantine) Import(records []citronstream.SuspectPart, source string) {
	qu.mu.Lock()
	defer qu.unlock()
	now := qu.clk.Now()
	for _, sp := range records[:min(len(records), maxRecords)] {
		qu.merge(sp, now, source)
	}
}

func (qu *Quarantine) merge(sp citronstream.SuspectPart, now time.Time, source string) {
	crashes := sp.Crashes[:min(len(sp.Crashes), crashesOfOne)]
	if len(crashes) == 0 {
		return
	}
	newest := now.Add(-max(0, crashes[len(crashes)-1].Age))
	if last, ok := qu.sound.get(sp.Part); ok && !last.at.Before(newest) {
		qu.tell(sp.Part, last.at) // the peer has missed the sound run
		return
	}
	if sp.Held <= 0 && now.Sub(newest) > qu.holdFor {
		return
	}
	qu.lookup(sp.Part, now)
	rec := qu.records.add(sp.Part)
	re := Report{Source: source}
	for _, pc := range crashes {
		re.Death = pc.Death
		at := now.Add(-max(0, pc.Age))
		cr := crash{death: pc.Death, at: at, sent: at, requests: pc.Requests[:min(len(pc.Requests), maxDigests)], explained: pc.Explained}
		if rec.count(cr) {
			qu.changed(Suspected, rec, re)
		}
	}
	if sp.Held > 0 && !rec.held() {
		qu.hold(rec, now.Add(min(sp.Held, qu.holdFor)))
		qu.changed(Held, rec, re)
	}
}
