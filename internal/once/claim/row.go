package claim

import (
	"net/url"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/google/uuid"
)

// States of a Row.
const (
	Claimed  = "Claimed"  // the call may be running or have run
	Done     = "Done"     // the call ran; the answer is recorded
	Released = "Released" // the call is proved not to have run; the key is free
)

// Row is the row Once/<service>/<workspace>/<key> of the table.
type Row struct {
	State    string    `json:"State"`
	Upstream string    `json:"Upstream"`
	Epoch    uint64    `json:"Epoch"`
	OpID     string    `json:"OpID"`
	Digest   uint64    `json:"Digest"`
	At       time.Time `json:"At"`
	Answer   *Answer   `json:"Answer,omitempty"`
	Object   string    `json:"Object,omitempty"` // key of the answer in the object store
}

// Answer is the result of a call. Fault is set if the call ran and failed.
type Answer struct {
	Status int                 `json:"Status"`
	Body   []byte              `json:"Body,omitempty"`
	Fault  *citronstream.Fault `json:"Fault,omitempty"`
	// Replayed is true for the answer of an earlier attempt.
	Replayed bool `json:"Replayed,omitempty"`
	// Unflushed is true while the key has no row in the table.
	Unflushed bool `json:"Unflushed,omitempty"`
}

// Request identifies a keyed call and its content.
type Request struct {
	Workspace string
	Key       string
	KeyGiven  bool // the caller chose the key and may have sent it before
	Digest    uint64
	// Sent is when the entry sent the call, by the entry's clock. If it is zero,
	// the call does not run on the grant.
	Sent time.Time
}

// Flushed identifies a key that now has a row in the table.
type Flushed struct {
	Workspace string
	Key       string
	Epoch     uint64
}

// RowKey returns the table key of a call's row.
func RowKey(service, workspace, key string) string {
	return "Once/" + url.PathEscape(service) + "/" + url.PathEscape(workspace) + "/" + url.PathEscape(key)
}

// generatedAfter reports whether a key is a UUIDv7 that was generated after t.
func generatedAfter(key string, t time.Time) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).After(t)
}

// FlushedNotice lists keys that ran on an agent's grant and now have a row in the table.
type FlushedNotice struct {
	Upstream string    `json:"Upstream"`
	Service  string    `json:"Service"`
	Keys     []Flushed `json:"Keys"`
}
