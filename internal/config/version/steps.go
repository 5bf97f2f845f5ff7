package version

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/patch"
)

// Bounds of the differences that a process keeps for its peers. A peer that
// was told of a change asks within a second, so that few steps are enough for
// all but those that were cut off, which get the whole document.
const (
	maxSteps     = 32
	maxStepBytes = 64 << 10 // of one step; 25 changed upstreams of the full size take 10 KB
)

// step is the difference between two versions that this process held one
// after the other.
type step struct {
	from  uint64
	patch []byte
}

// steps lead without a gap to the version of the snapshot that has them.
type steps []step

// after returns the steps to the next document. They start anew where the
// difference is unknown or too large.
func (ss steps) after(held *Snapshot, next Document) steps {
	pa, err := difference(held, next)
	if err != nil || len(pa) > maxStepBytes {
		return nil
	}
	ss = append(ss[:len(ss):len(ss)], step{held.Fleet.Version, pa})
	return ss[max(0, len(ss)-maxSteps):]
}

// since returns the difference against an earlier version.
func (ss steps) since(version uint64) ([]byte, bool) {
	for i := range ss {
		if ss[i].from != version {
			continue
		}
		var patches [][]byte
		for _, sp := range ss[i:] {
			patches = append(patches, sp.patch)
		}
		joined, err := patch.Join(patches...)
		return joined, err == nil
	}
	return nil, false
}

// difference returns the patch from a version held to another document.
func difference(held *Snapshot, next Document) ([]byte, error) {
	if held.Fleet.Version == 0 {
		return nil, citronstream.ErrNotFound
	}
	before, err := unpack(held.Document.Body)
	if err != nil {
		return nil, err
	}
	after, err := unpack(next.Body)
	if err != nil {
		return nil, err
	}
	return patch.New(before, after)
}

// Counts is a snapshot of a store's counters.
type Counts struct {
	Wholes     uint64 // whole documents read from a peer or the object store
	Deltas     uint64 // differences read and applied
	Mismatches uint64 // differences that did not lead to the digest of their record
	GaveWholes uint64 // whole documents given to peers
	GaveDeltas uint64 // differences given to peers
}

type counters struct {
	wholes, deltas, mismatches, gaveWholes, gaveDeltas atomic.Uint64
}

// Counts returns the counters.
func (st *Store) Counts() Counts {
	co := &st.counts
	return Counts{
		Wholes: co.wholes.Load(), Deltas: co.deltas.Load(), Mismatches: co.mismatches.Load(),
		GaveWholes: co.gaveWholes.Load(), GaveDeltas: co.gaveDeltas.Load(),
	}
}

// Answer is what a peer is given that asks for the configuration: the
// difference against the version that it holds, and the whole document if that
// difference is unknown or not smaller.
func (st *Store) Answer(rq citronstream.ConfigRequest) Document {
	sn := st.Current()
	do := sn.Document
	if pa, ok := sn.steps.since(rq.Holds); ok {
		body, err := pack(pa)
		if err == nil && len(body) < len(do.Body) {
			st.counts.gaveDeltas.Add(1)
			do.Base, do.Body = rq.Holds, body
			return do
		}
	}
	st.counts.gaveWholes.Add(1)
	return do
}

// restore returns the whole document that a difference leads to. It counts one
// that does not lead there.
func (st *Store) restore(held *Snapshot, delta Document) (Document, error) {
	do, err := restored(held, delta)
	if err != nil {
		st.counts.mismatches.Add(1)
		return Document{}, err
	}
	st.counts.deltas.Add(1)
	return do, nil
}

// restored applies a difference and compares the digest of the whole. The
// text is marshalled anew, as a patch does not keep the order of members.
func restored(held *Snapshot, delta Document) (Document, error) {
	if delta.Base != held.Fleet.Version || delta.Record.Version <= delta.Base {
		return Document{}, fmt.Errorf("difference from version %d to %d does not follow version %d",
			delta.Base, delta.Record.Version, held.Fleet.Version)
	}
	pa, err := unpack(delta.Body)
	if err != nil {
		return Document{}, err
	}
	before, err := unpack(held.Document.Body)
	if err != nil {
		return Document{}, err
	}
	text, err := patch.Apply(before, pa)
	if err != nil {
		return Document{}, err
	}
	fl := &citronstream.Fleet{}
	if err := json.Unmarshal(text, fl); err != nil {
		return Document{}, fmt.Errorf("configuration document: %w", err)
	}
	body, digest, err := Encode(fl)
	if err != nil {
		return Document{}, err
	}
	if digest != delta.Record.Digest {
		return Document{}, fmt.Errorf("difference against version %d leads to digest %.12s, its record says %.12s",
			delta.Base, digest, delta.Record.Digest)
	}
	return Document{Record: delta.Record, Body: body}, nil
}

// putDelta stores the difference against the version before, for processes
// that read the object store. It reports whether that is done; without it
// they read the whole document.
func (st *Store) putDelta(ctx context.Context, next Document) bool {
	held := st.Current()
	if held.Fleet.Version+1 != next.Record.Version {
		return false
	}
	pa, err := difference(held, next)
	if err != nil || len(pa) > maxStepBytes {
		return false
	}
	body, err := pack(pa)
	if err != nil || len(body) >= len(next.Body) {
		return false
	}
	return st.objects.Put(ctx, next.Record.Document+deltaSuffix, body) == nil
}
