package check

import (
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
)

func indexed(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

// limits checks each limit against the range in which the processes work.
// The upper bounds keep one entry or agent inside a small instance's memory.
func (ru *run) limits(li *citronstream.Limits) {
	pl := top("Limits")
	within(ru, pl, "MaxBodyBytes", li.MaxBodyBytes, 1<<10, 64<<20)
	within(ru, pl, "MaxHeaderBytes", li.MaxHeaderBytes, 1<<10, 1<<20)
	within(ru, pl, "MaxJSONDepth", li.MaxJSONDepth, 1, 1000)
	within(ru, pl, "MaxConnections", li.MaxConnections, 1, 1<<20)
	within(ru, pl, "MaxConcurrent", li.MaxConcurrent, 1, 1<<20)
	within(ru, pl, "MaxQueued", li.MaxQueued, 1, 1<<20)
	within(ru, pl, "MaxAnswerBytes", li.MaxAnswerBytes, 1<<10, 256<<20)
	within(ru, pl, "RetryRatio", li.RetryRatio, 0, 1)
	within(ru, pl, "RetriesPerRequest", li.RetriesPerRequest, 0, 10)
	within(ru, pl, "WeightBytesPerSec", li.WeightBytesPerSec, 1<<20, 1<<40)
	ru.duration(pl, "IdleTimeout", li.IdleTimeout, time.Second, time.Hour)
	ru.duration(pl, "HoldFor", li.HoldFor, time.Second, 24*time.Hour)
	ru.duration(pl, "CostFlush", li.CostFlush, time.Second, time.Hour)
	// A grant stops running calls 1 min before its end (design page, section 6).
	ru.duration(pl, "GrantFor", li.GrantFor, 2*time.Minute, 24*time.Hour)
	ru.duration(pl, "GrantRenew", li.GrantRenew, time.Second, time.Hour)
	ru.duration(pl, "KeyRetention", li.KeyRetention, time.Minute, 30*24*time.Hour)
	// Promise P7 allows 5 s on the two sites and 14 s at full size.
	ru.duration(pl, "ConfigPoll", li.ConfigPoll, 100*time.Millisecond, 10*time.Second)
	if li.GrantRenew.Std() > li.GrantFor.Std()-time.Minute {
		ru.bad(pl, "GrantRenew", "%s leaves no renewal before the last minute of GrantFor, %s", li.GrantRenew.Std(), li.GrantFor.Std())
	}
	if li.KeyRetention < li.GrantFor {
		ru.bad(pl, "KeyRetention", "%s is shorter than GrantFor, %s", li.KeyRetention.Std(), li.GrantFor.Std())
	}
}
