package ledger

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// Units is an amount of cost in millionths of a cost unit. Integers have the
// same sum in any order, so that both owners compute the same split.
type Units int64

const unitScale = 1_000_000

// UnitsOf converts cost units, rounded to the nearest millionth. It returns 0
// for a value that is negative, not a number or out of range.
func UnitsOf(cost float64) Units {
	if scaled := math.Round(cost * unitScale); scaled > 0 && scaled < math.MaxInt64 {
		return Units(scaled)
	}
	return 0
}

// Float returns the amount in cost units.
func (un Units) Float() float64 { return float64(un) / unitScale }

// Key identifies a row of usage.
type Key struct {
	Side      string `json:"Side"` // SideEntry or SideAgent
	Owner     string `json:"Owner,omitempty"`
	Workspace string `json:"Workspace,omitempty"`
	Service   string `json:"Service,omitempty"`
	Stage     string `json:"Stage,omitempty"`
	Rank      int    `json:"Rank"`
}

// The sides that count usage independently of each other.
const (
	SideEntry = "entry"
	SideAgent = "agent"
)

// Other names the rows that count the usage beyond the cap on rows.
const Other = "other"

// Counts is an amount of usage.
type Counts struct {
	Calls     int64         `json:"Calls"`
	Cost      Units         `json:"Cost"` // millionths of a cost unit
	TokensIn  int64         `json:"TokensIn,omitempty"`
	TokensOut int64         `json:"TokensOut,omitempty"`
	Busy      time.Duration `json:"Busy,omitempty"`     // nanoseconds at the upstream
	Queued    time.Duration `json:"Queued,omitempty"`   // nanoseconds in the agent's queue
	Attained  int64         `json:"Attained,omitempty"` // calls that met their deadline
}

func (co *Counts) add(other Counts) {
	co.Calls = sum(co.Calls, other.Calls)
	co.Cost = sum(co.Cost, other.Cost)
	co.TokensIn = sum(co.TokensIn, other.TokensIn)
	co.TokensOut = sum(co.TokensOut, other.TokensOut)
	co.Busy = sum(co.Busy, other.Busy)
	co.Queued = sum(co.Queued, other.Queued)
	co.Attained = sum(co.Attained, other.Attained)
}

// sum adds counts that are not negative and saturates at math.MaxInt64.
func sum[T ~int64](a, b T) T {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// maxCount bounds each count of a row; a larger one is an error of the process
// that wrote it. Under overload the queueing times of an interval add up to
// hours, so that a bound of 2^43 ns rejected valid records.
const maxCount = 1 << 56

func (co Counts) check() error {
	fields := []int64{co.Calls, int64(co.Cost), co.TokensIn, co.TokensOut, int64(co.Busy), int64(co.Queued), co.Attained}
	for _, field := range fields {
		if field < 0 || field > maxCount {
			return fmt.Errorf("count %s is out of range", strconv.FormatInt(field, 10))
		}
	}
	return nil
}

// Row is the usage of one Key in a Delta.
type Row struct {
	Key
	Counts
}

// Delta is the usage that one process counted in one interval. Process, Epoch
// and Seq identify it; once written, a Delta never changes.
type Delta struct {
	Process string `json:"Process"`
	Epoch   uint64 `json:"Epoch"`
	Seq     uint64 `json:"Seq"`
	// OpID distinguishes a repeated write of this Delta from the Delta of
	// another process that runs under the same name and epoch.
	OpID string    `json:"OpID"`
	At   time.Time `json:"At"`
	Rows []Row     `json:"Rows"`
}

// Path returns the Delta's key in the table.
func (de Delta) Path() string {
	return fmt.Sprintf("%s%s/%d/%012d", DayPrefix(de.At), de.Process, de.Epoch, de.Seq)
}

// DayPrefix returns the prefix of the keys of a day's records, in UTC.
func DayPrefix(day time.Time) string { return "Cost/" + day.UTC().Format(time.DateOnly) + "/" }
