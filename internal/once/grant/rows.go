package grant

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SlotCount is the number of slots into which a service's keys are hashed.
const SlotCount = 64

// States of a Record.
const (
	Open   = "Open"
	Closed = "Closed"
)

// Record is the row Grant/<upstream> of the table.
type Record struct {
	Epoch        uint64    `json:"Epoch"`
	Service      string    `json:"Service"`
	Address      string    `json:"Address"`
	Instance     string    `json:"Instance"`
	Until        time.Time `json:"Until"`
	State        string    `json:"State"`
	CheckpointAt time.Time `json:"CheckpointAt"` // last renewal at which nothing was unflushed
	Token        uint64    `json:"Token"`        // highest fencing token sent to the engine
	OpID         string    `json:"OpID"`
}

// EpochRow is the row Epoch/<upstream>. It changes only with the epoch, so that
// a condition on its version holds across renewals of the grant.
type EpochRow struct {
	Epoch uint64 `json:"Epoch"`
	OpID  string `json:"OpID"`
}

// Doubt is an interval of uncertainty, in which a former owner may have run keys
// that have no row.
type Doubt struct {
	Upstream string    `json:"Upstream"`
	Epoch    uint64    `json:"Epoch"`
	From     time.Time `json:"From"`
	To       time.Time `json:"To"`
}

// Slot is one slot of a service. Used is true once it has had an owner.
type Slot struct {
	Owner  string  `json:"Owner,omitempty"`
	Epoch  uint64  `json:"Epoch,omitempty"`
	Used   bool    `json:"Used,omitempty"`
	Doubts []Doubt `json:"Doubts,omitempty"`
}

// Member is an upstream that owns a share of its service's slots.
type Member struct {
	Epoch    uint64 `json:"Epoch"`
	Address  string `json:"Address"`
	Instance string `json:"Instance"`
}

// Slots is the row Slots/<service>.
type Slots struct {
	Slots   [SlotCount]Slot   `json:"Slots"`
	Members map[string]Member `json:"Members"`
	OpID    string            `json:"OpID"`
}

// SlotOf returns the slot of a key.
func SlotOf(workspace, key string) int {
	return int(xxhash.Sum64String(workspace+"\x00"+key) % SlotCount)
}

// GrantKey returns the key of an upstream's Grant row.
func GrantKey(upstream string) string { return "Grant/" + upstream }

// EpochKey returns the key of an upstream's Epoch row.
func EpochKey(upstream string) string { return "Epoch/" + upstream }

// SlotsKey returns the key of a service's Slots row.
func SlotsKey(service string) string { return "Slots/" + service }

// reassign takes the slots away from an owner up to the epoch of the doubt, and
// adds the doubt to them. The new owner gets at most limit of them; the others
// become unowned.
func (sl *Slots) reassign(from string, doubt Doubt, to string, epoch uint64, limit int) {
	for i := range sl.Slots {
		slot := &sl.Slots[i]
		if slot.Owner != from || slot.Epoch > doubt.Epoch {
			continue
		}
		slot.Doubts = append(slices.Clone(slot.Doubts), doubt)
		slot.Owner, slot.Epoch = "", 0
		if limit > 0 {
			slot.Owner, slot.Epoch = to, epoch
			limit--
		}
	}
}

func (sl *Slots) owned(owner string, epoch uint64) (slots []int) {
	for i, slot := range sl.Slots {
		if slot.Owner == owner && slot.Epoch == epoch {
			slots = append(slots, i)
		}
	}
	return slots
}

// share is the number of slots that each member may own.
func (sl *Slots) share() int {
	members := max(1, len(sl.Members))
	return (SlotCount + members - 1) / members
}

// prune drops doubts older than the retention of keys.
func (sl *Slots) prune(now time.Time, retention time.Duration) {
	for i := range sl.Slots {
		sl.Slots[i].Doubts = slices.DeleteFunc(slices.Clone(sl.Slots[i].Doubts), func(dt Doubt) bool {
			return now.Sub(dt.To) > retention
		})
	}
}
