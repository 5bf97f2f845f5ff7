package citronstream

import (
	"context"
	"time"
)

// Row is a row of the table service. Key is a path such as "Grant/desk-1".
// Version grows with each write, also when the store comes back from an older copy (see
// NewVersion), and is 0 for a row that does not exist.
type Row struct {
	Key     string
	Version uint64
	Value   []byte    `json:",omitempty"`
	Expires time.Time `json:",omitzero"` // zero means never
}

// Op is one write of a transaction.
type Op struct {
	Key   string
	Value []byte
	// IfVersion is the version that the row must have: 0 means that the row
	// must not exist; AnyVersion writes unconditionally.
	IfVersion uint64
	// CheckOnly only tests IfVersion and writes nothing.
	CheckOnly bool
	Delete    bool
	Expires   time.Time
}

// AnyVersion makes the write of an Op unconditional.
const AnyVersion = ^uint64(0)

// MaxOps is the maximum number of writes in a transaction.
const MaxOps = 100

// ConflictError has the keys of the operations whose condition failed. It matches ErrConflict.
type ConflictError struct {
	Keys []string
}

// Error implements error.
func (ce *ConflictError) Error() string { return "condition failed on " + joinKeys(ce.Keys) }

// Is makes errors.Is(err, ErrConflict) true.
func (ce *ConflictError) Is(target error) bool { return target == ErrConflict }

func joinKeys(keys []string) string {
	text := ""
	for i, key := range keys {
		if i > 0 {
			text += ", "
		}
		text += key
	}
	return text
}

// Table is the platform's transactional table service.
type Table interface {
	// Get reads one row. Errors: ErrNotFound, ErrUnavailable, ErrThrottled.
	Get(ctx context.Context, key string) (Row, error)
	// List reads the rows whose key starts with prefix, in key order, at most
	// limit. Rows up to and including the key after are skipped; that row need
	// not exist. The prefix ends with "/".
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Write applies all operations or none. A repeat with the same opID within
	// ten minutes has no further effect. Errors: *ConflictError,
	// ErrUnavailable (not applied), ErrThrottled (not applied),
	// ErrUnknownOutcome (the answer was lost).
	Write(ctx context.Context, opID string, ops ...Op) error
}

// Change is a row that was written or, with Deleted, removed at Version.
type Change struct {
	Row
	Deleted bool `json:",omitempty"`
}

// Feed is the stream of changes of a table.
type Feed interface {
	// Changes returns the changes of a table after a version, in order. Without
	// any it waits for one, at most for the time wait. The next call goes on from its version. Errors:
	// ErrHistoryExpired when the changes are no longer kept, or when the version is of an
	// earlier era of the store; ErrUnavailable, ErrThrottled.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (changes []Change, at Stamp, err error)
	// Scan reads a whole table as of the returned version.
	Scan(ctx context.Context, table string) (rows []Row, at Stamp, err error)
}

// Stamp says when the store gave an answer.
type Stamp struct {
	Version uint64        // of the store: of all tables together
	Time    time.Duration // of the store's steady clock
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object. Objects are named by their content or by an
	// operation identifier, so it is safe to repeat a Put.
	Put(ctx context.Context, key string, body []byte) error
	// Get reads an object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Fetch reads the weights of a model and returns their size in bytes.
	// Errors: ErrThrottled, ErrNotFound, ErrUnavailable.
	Fetch(ctx context.Context, model string) (int64, error)
}

// InstanceState is an instance in the platform's list.
type InstanceState struct {
	Instance string
	Zone     string
	Leaving  bool
}

// Liveness is the platform's list of live and leaving instances, which lags behind.
type Liveness interface {
	List(ctx context.Context) ([]InstanceState, error)
}

// Platform has the services of the platform that a process uses.
type Platform struct {
	Table    Table
	Objects  Objects
	Weights  Weights
	Liveness Liveness
}
