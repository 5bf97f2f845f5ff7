package table

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// assumedSlotRate is the assumed throughput of one slot, in cost units a second,
	// until a report of a saturated upstream gives a measured rate.
	assumedSlotRate = 10
	// rateRecovery is the fraction by which each report of an unsaturated
	// upstream moves a low rate towards the assumed one. Without it, an upstream
	// that was slow once gets little work, shows little throughput and keeps its
	// low rate.
	rateRecovery = 0.05
	// bucketCount is the number of buckets that record sent work by time.
	bucketCount = 32
)

// Node is an upstream of a snapshot with its live state. The exported fields
// are immutable. The methods are safe for concurrent use and don't allocate.
type Node struct {
	Name     string
	Service  string
	Zone     string
	Region   string
	Instance string
	Agent    string
	Capacity int
	Allowed  []string // models that the inventory allows; empty allows all
	floors   *[MaxRanks]float64
	live     *live
}

// live is the state of an upstream that is kept when the fleet is replaced.
type live struct {
	membership atomic.Pointer[membership]
	report     atomic.Pointer[report]
	weight     atomic.Uint64          // float64 bits
	pending    [MaxRanks]atomic.Int64 // own work that the report doesn't include, in milli cost units
	inFlight   atomic.Int64           // own work in flight, in milli cost units
	buckets    [bucketCount]bucket
	budget     atomic.Uint64 // pick count from which the next diversion is allowed
}

// bucket holds the net work of one interval, which is identified by its number.
type bucket struct {
	interval atomic.Int64
	net      [MaxRanks]atomic.Int64
}

// report is the last accepted Load with the values derived from it.
type report struct {
	load    citronstream.Load
	rate    float64
	slots   uint64
	at      time.Time         // arrival
	waiting [MaxRanks]float64 // cost units by rank
	queued  bool              // calls wait
}

func newLive(now time.Time) *live {
	li := &live{}
	li.membership.Store(&membership{Status: Status{At: now}})
	li.weight.Store(math.Float64bits(1))
	return li
}

// Status returns the membership state.
func (nd *Node) Status() Status { return nd.live.membership.Load().Status }

// State returns the membership state without its cause.
func (nd *Node) State() State { return nd.live.membership.Load().State }

// Same reports whether both nodes share their live state, as the nodes of an
// upstream do when a new fleet leaves it in place.
func (nd *Node) Same(other *Node) bool { return nd.live == other.live }

// Weight returns the share of its normal work that the upstream should get, 0 to 1.
func (nd *Node) Weight() float64 { return math.Float64frombits(nd.live.weight.Load()) }

// SetWeight sets the Weight. Only the outlier detection calls it.
func (nd *Node) SetWeight(weight float64) { nd.live.weight.Store(math.Float64bits(weight)) }

// Reported returns the last accepted report and false if there is none.
func (nd *Node) Reported() (citronstream.Load, bool) {
	if re := nd.live.report.Load(); re != nil {
		return re.load, true
	}
	return citronstream.Load{}, false
}

// Load returns the corrected load in cost units: the reported load plus the
// work sent since the report was taken, less the work that has ended since.
func (nd *Node) Load() float64 {
	return nd.load(nd.live.report.Load())
}

func (nd *Node) load(re *report) float64 {
	if re == nil {
		return max(0, float64(nd.live.inFlight.Load())/1000)
	}
	var own int64
	for rank := range nd.live.pending {
		own += nd.live.pending[rank].Load()
	}
	return max(0, re.load.Cost+float64(own)/1000)
}

// ReportedLoad returns the load of the last report without correction.
func (nd *Node) ReportedLoad() float64 {
	if re := nd.live.report.Load(); re != nil {
		return re.load.Cost
	}
	return 0
}

// TryDivert reports whether another pick may be diverted to this node for a
// reason other than load, and if so uses up the budget. At most one in interval
// picks of the service may be; picks is the service's PickCount.
func (nd *Node) TryDivert(picks, interval uint64) bool {
	for {
		due := nd.live.budget.Load()
		if due > picks {
			return false
		}
		if nd.live.budget.CompareAndSwap(due, picks+interval) {
			return true
		}
	}
}

// ReportAge returns the time since the last report arrived, 0 if there is none.
func (nd *Node) ReportAge(now time.Time) time.Duration {
	if re := nd.live.report.Load(); re != nil {
		return now.Sub(re.at)
	}
	return 0
}

func (nd *Node) rate() float64 {
	if re := nd.live.report.Load(); re != nil {
		return re.rate
	}
	return nd.assumedRate()
}

func (nd *Node) assumedRate() float64 { return float64(max(1, nd.Capacity)) * assumedSlotRate }

// Holds reports whether the upstream can serve the model, according to its last
// report or, before the first report, to the inventory.
func (nd *Node) Holds(model string) bool {
	if model == "" {
		return true
	}
	if re := nd.live.report.Load(); re != nil && re.load.Models != nil {
		return slices.Contains(re.load.Models, model)
	}
	return len(nd.Allowed) == 0 || slices.Contains(nd.Allowed, model)
}

// nextReport derives the next report. A lower rate is taken over only if the
// upstream was saturated, because an idle upstream also has little throughput.
func (nd *Node) nextReport(lo citronstream.Load, now time.Time) *report {
	rate := nd.rate()
	switch assumed := nd.assumedRate(); {
	case lo.Rate > 0 && (lo.Rate > rate || lo.Waiting > 0 || lo.Running >= max(1, lo.Capacity)):
		rate = lo.Rate
	case rate < assumed:
		rate += (assumed - rate) * rateRecovery
	}
	re := &report{load: lo, rate: rate, at: now, queued: len(lo.Ranks) > 0}
	for rank, cost := range lo.Ranks {
		re.waiting[rankIndex(rank)] += max(0, cost)
	}
	for _, slot := range lo.Slots {
		if slot >= 0 && slot < Slots {
			re.slots |= 1 << slot
		}
	}
	return re
}

// add records work sent (positive) or ended (negative) in the interval.
func (li *live) add(interval int64, rank int, milli int64) {
	bu := &li.buckets[interval%bucketCount]
	if old := bu.interval.Load(); old != interval && bu.interval.CompareAndSwap(old, interval) {
		for other := range bu.net {
			bu.net[other].Store(0)
		}
	}
	bu.net[rank].Add(milli)
	li.pending[rank].Add(milli)
	li.inFlight.Add(milli)
}

// sentBetween sums the work of the intervals first to last.
func (li *live) sentBetween(first, last int64) (sum [MaxRanks]int64) {
	for interval := max(first, last-bucketCount+1); interval <= last; interval++ {
		if bu := &li.buckets[interval%bucketCount]; bu.interval.Load() == interval {
			for rank := range sum {
				sum[rank] += bu.net[rank].Load()
			}
		}
	}
	return sum
}
