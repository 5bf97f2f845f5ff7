// Package rowaudit checks each write of the table against the rules of section
// 6 of the design: it sees what a program wrote, also where no caller does.
package rowaudit

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/standin/record"
)

// maxTexts bounds the breaches that are kept; the count is complete.
const maxTexts = 20

// Audit collects the writes that break a rule.
type Audit struct {
	clk citronstream.Clock

	mu     sync.Mutex
	epochs map[string]uint64 // by upstream
	late   map[string]lateClaim
	count  int
	texts  []string
}

// lateClaim is a claim that was written under an epoch that is no longer in force.
type lateClaim struct {
	claim.Row
	key string // of the table
	now uint64 // epoch in force
	at  time.Time
}

// New returns an Audit without breaches.
func New(clk citronstream.Clock) *Audit {
	return &Audit{clk: clk, epochs: make(map[string]uint64), late: make(map[string]lateClaim)}
}

// Wrote takes a row before and after a write, in the order of the writes.
func (au *Audit) Wrote(before, after citronstream.Row) {
	au.mu.Lock()
	defer au.mu.Unlock()
	kind, name, _ := strings.Cut(after.Key, "/")
	switch kind {
	case "Epoch":
		au.epoch(name, after)
	case "Grant":
		au.grant(name, before, after)
	case "Once":
		au.once(before, after)
	}
}

// epoch checks that an epoch, a fencing token, never goes back.
func (au *Audit) epoch(upstream string, after citronstream.Row) {
	var row grant.EpochRow
	if !au.decode(after, &row) {
		return
	}
	if row.Epoch <= au.epochs[upstream] {
		au.broken("epoch of %s from %d to %d", upstream, au.epochs[upstream], row.Epoch)
	}
	au.epochs[upstream] = row.Epoch
}

// grant checks that the highest token sent to an engine never goes back, and
// that a new one carries the epoch under which it was raised.
func (au *Audit) grant(upstream string, before, after citronstream.Row) {
	var old, row grant.Record
	if before.Version == 0 || !au.decode(before, &old) || !au.decode(after, &row) {
		return
	}
	if row.Token < old.Token || row.Epoch < old.Epoch {
		au.broken("grant of %s from epoch %d, token %d to epoch %d, token %d", upstream, old.Epoch, old.Token, row.Epoch, row.Token)
	}
	if row.Token != old.Token && row.Token&0xffff != row.Epoch&0xffff {
		au.broken("token %d of %s was raised under epoch %d", row.Token, upstream, row.Epoch)
	}
}

// once checks that an answer is final, and that a claim is changed by its own
// attempt alone, but for the answer of a call that ran.
func (au *Audit) once(before, after citronstream.Row) {
	var old, row claim.Row
	if !au.decode(after, &row) || before.Version != 0 && !au.decode(before, &old) {
		return
	}
	switch {
	case old.State == claim.Done && row.OpID != old.OpID,
		old.State == claim.Done && row.State != claim.Done,
		old.State == claim.Claimed && row.OpID != old.OpID && row.State != claim.Done:
		au.broken("%s from %s by %s, operation %s to %s by %s, operation %s", after.Key,
			old.State, old.Upstream, old.OpID, row.State, row.Upstream, row.OpID)
	}
	if now := au.epochs[row.Upstream]; row.State == claim.Claimed && row.Epoch < now {
		au.late[row.OpID] = lateClaim{Row: row, key: after.Key, now: now, at: au.clk.Now()}
	}
	if late, ok := au.late[row.OpID]; ok && row.State == claim.Done {
		late.State = claim.Done
		au.late[row.OpID] = late
	}
}

// Broken returns the number of breaches and the first of them. A claim under
// an old epoch is one if its call ran after it. Others are allowed: a call that
// ran on the grant, and the rows that entries write for a dead agent.
func (au *Audit) Broken(log *record.Log) (int, []string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	for op, late := range au.late {
		if late.State != claim.Done {
			continue
		}
		key := late.key[strings.LastIndexByte(late.key, '/')+1:]
		for _, ex := range log.ByKey(key) {
			if ex.Upstream == late.Upstream && !ex.StartedAt.Before(late.at) {
				au.broken("%s claimed under epoch %d of %s while %d was in force, and run after that", late.key, late.Epoch, late.Upstream, late.now)
			}
		}
		delete(au.late, op)
	}
	return au.count, au.texts
}

func (au *Audit) decode(row citronstream.Row, value any) bool {
	if err := json.Unmarshal(row.Value, value); err != nil {
		au.broken("%s is unreadable: %s", row.Key, err)
		return false
	}
	return true
}

func (au *Audit) broken(format string, args ...any) {
	au.count++
	if len(au.texts) < maxTexts {
		au.texts = append(au.texts, fmt.Sprintf(format, args...))
	}
}
