package citronstream

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict says whether the work of a request may have run at an upstream.
type Verdict uint8

// The zero value is MayHaveRun, so that an unset verdict claims nothing that is
// not known.
const (
	// MayHaveRun means that there is no proof either way.
	MayHaveRun Verdict = iota
	// NotRun means that the work is proved not to have run.
	NotRun
	// Ran means that the work ran and that the upstream reported its end.
	Ran
)

var verdictNames = [...]string{"MayHaveRun", "NotRun", "Ran"}

// String returns the verdict's name as used in messages and problem documents.
func (ve Verdict) String() string {
	if int(ve) < len(verdictNames) {
		return verdictNames[ve]
	}
	return fmt.Sprintf("Verdict(%d)", uint8(ve))
}

// MarshalText implements encoding.TextMarshaler.
func (ve Verdict) MarshalText() ([]byte, error) { return []byte(ve.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (ve *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*ve = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Code classifies a Fault. Its text is stable and goes into problem documents.
type Code string

// The codes of a Fault.
const (
	CodeOverloaded     Code = "overloaded"      // admission refused: the wait would exceed the deadline
	CodeDeadline       Code = "deadline"        // the deadline passed
	CodeUnavailable    Code = "unavailable"     // no upstream could take the call
	CodeUpstreamDied   Code = "upstream-died"   // the upstream died while it ran the call
	CodeUpstreamFailed Code = "upstream-failed" // the upstream answered with an error
	CodeLinkLost       Code = "link-lost"       // the link to the agent broke
	CodeQuarantined    Code = "quarantined"     // the content is quarantined because upstreams died with it
	CodeBadRequest     Code = "bad-request"     // the caller's request is malformed
	CodeUnauthorized   Code = "unauthorized"    // the access token is missing or wrong
	CodeNotFound       Code = "not-found"       // no such pipeline, service or call
	CodeTooLarge       Code = "too-large"       // a size limit was exceeded
	CodeStalled        Code = "stalled"         // the caller's body arrives too slowly
	CodeCanceled       Code = "canceled"        // the caller canceled the request or disconnected
	CodeInDoubt        Code = "in-doubt"        // an earlier attempt under this key may have run
	CodeKeyReuse       Code = "key-reuse"       // the key was used with other content
	CodeNotOwner       Code = "not-owner"       // this agent does not own the key's slot
	CodeNotReady       Code = "not-ready"       // the process can't serve yet
	CodeLeaving        Code = "leaving"         // the process or upstream is draining
	CodeStale          Code = "stale"           // an old fencing token or configuration version
	CodeConflict       Code = "conflict"        // a concurrent write made a compare-and-set fail
	CodeLimit          Code = "limit"           // a bounded table is full
	CodeInternal       Code = "internal"        // a bug, or an error without a code
)

// Fault is the error type of the request path. It crosses processes as JSON.
type Fault struct {
	Verdict    Verdict       `json:"Verdict"`
	Code       Code          `json:"Code"`
	Text       string        `json:"Text"`
	RetryAfter time.Duration `json:"RetryAfter,omitempty"` // nanoseconds; 0 when a retry is pointless or its time unknown
}

// Error implements error.
func (fa *Fault) Error() string {
	return fmt.Sprintf("%s: %s (%s)", fa.Code, fa.Text, fa.Verdict)
}

// NewFault returns a Fault with a formatted text.
func NewFault(ve Verdict, code Code, format string, args ...any) *Fault {
	return &Fault{Verdict: ve, Code: code, Text: fmt.Sprintf(format, args...)}
}

// FaultOf finds the Fault in err's chain. An error without one becomes a
// Fault with CodeInternal and MayHaveRun. It returns nil for a nil err.
func FaultOf(err error) *Fault {
	if err == nil {
		return nil
	}
	var fa *Fault
	if errors.As(err, &fa) {
		return fa
	}
	return NewFault(MayHaveRun, CodeInternal, "%s", err.Error())
}

// VerdictOf returns the verdict of err: Ran for nil, MayHaveRun for an error
// without a Fault.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	return FaultOf(err).Verdict
}

// Sentinel errors of the platform interfaces.
var (
	// ErrConflict reports a failed condition of a transaction. Nothing of the transaction was written.
	ErrConflict = merry.Sentinel("condition failed")
	// ErrUnknownOutcome reports a write whose answer was lost. It may have taken effect.
	ErrUnknownOutcome = merry.Sentinel("outcome unknown")
	// ErrUnavailable reports that the service can't be reached or refused the call before it took effect.
	ErrUnavailable = merry.Sentinel("service unavailable")
	// ErrConnectionSilent reports a call on an open connection that was silent for too
	// long. A new connection may work.
	ErrConnectionSilent = merry.Sentinel("connection silent")
	// ErrResponsePaused reports a call whose response began on a new connection and then paused
	// for too long. The link may be slow: repeated, the call is awaited until its deadline.
	ErrResponsePaused = merry.Sentinel("response paused")
	// ErrThrottled reports a call refused by a rate limit.
	ErrThrottled = merry.Sentinel("throttled")
	// ErrHistoryExpired reports that the requested changes are no longer kept.
	ErrHistoryExpired = merry.Sentinel("history expired")
	// ErrNotFound reports a row or object that does not exist.
	ErrNotFound = merry.Sentinel("not found")
)
