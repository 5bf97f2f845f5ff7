package check

import (
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// Ranges of the memory for clients. That for operators serves one configuration of
	// 17 MiB, which may take half of it and is copied once while it is read.
	minMemory         = 1 << 20
	minOperatorMemory = 72 << 20
	maxMemory         = 1 << 40
	// bodyShares is what of the memory for callers one body needs: bodies may have half of
	// it, and one is copied once while it is read.
	bodyShares = 4
)

func indexed(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

// limits checks that each limit is in the supported range. The upper bounds keep the
// memory of an entry or agent within that of a small instance.
func (ru *run) limits(li *citronstream.Limits) {
	loc := wholeSection("Limits")
	checkRange(ru, loc, "MaxBodyBytes", li.MaxBodyBytes, 1<<10, 64<<20)
	checkRange(ru, loc, "MaxHeaderBytes", li.MaxHeaderBytes, 1<<10, 1<<20)
	checkRange(ru, loc, "MaxJSONDepth", li.MaxJSONDepth, 1, 1000)
	checkRange(ru, loc, "MaxConnections", li.MaxConnections, 1, 1<<20)
	checkRange(ru, loc, "MaxConcurrent", li.MaxConcurrent, 1, 1<<20)
	checkRange(ru, loc, "MaxQueued", li.MaxQueued, 1, 1<<20)
	checkRange(ru, loc, "MaxAnswerBytes", li.MaxAnswerBytes, 1<<10, 256<<20)
	checkRange(ru, loc, "MaxCallerMemory", li.MaxCallerMemory, minMemory, maxMemory)
	checkRange(ru, loc, "MaxOperatorMemory", li.MaxOperatorMemory, minOperatorMemory, maxMemory)
	checkRange(ru, loc, "MaxPeerConnections", li.MaxPeerConnections, 16, 1<<20)
	checkRange(ru, loc, "RetryRatio", li.RetryRatio, 0, 1)
	checkRange(ru, loc, "RetriesPerRequest", li.RetriesPerRequest, 0, 10)
	checkRange(ru, loc, "WeightBytesPerSec", li.WeightBytesPerSec, 1<<20, 1<<40)
	ru.checkDuration(loc, "IdleTimeout", li.IdleTimeout, time.Second, time.Hour)
	ru.checkDuration(loc, "HeaderTimeout", li.HeaderTimeout, time.Second, time.Hour)
	ru.checkDuration(loc, "StallTimeout", li.StallTimeout, time.Second, time.Hour)
	ru.checkDuration(loc, "HoldFor", li.HoldFor, time.Second, 24*time.Hour)
	ru.checkDuration(loc, "CostFlush", li.CostFlush, time.Second, time.Hour)
	// No call runs in the last minute of a grant (design page, section 6).
	ru.checkDuration(loc, "GrantFor", li.GrantFor, 2*time.Minute, 24*time.Hour)
	ru.checkDuration(loc, "GrantRenew", li.GrantRenew, time.Second, time.Hour)
	ru.checkDuration(loc, "KeyRetention", li.KeyRetention, time.Minute, 30*24*time.Hour)
	// Promise P7 allows a change 5 s on the two sites and 14 s at full size to take effect.
	ru.checkDuration(loc, "ConfigPoll", li.ConfigPoll, 100*time.Millisecond, 10*time.Second)
	if least := bodyShares*li.MaxBodyBytes + li.MaxAnswerBytes + minMemory; li.MaxCallerMemory < least {
		ru.faultf(loc, "MaxCallerMemory", "%d leaves no room for one request with MaxBodyBytes and its answer with MaxAnswerBytes, want %d at least", li.MaxCallerMemory, least)
	}
	if li.GrantRenew.Std() > li.GrantFor.Std()-time.Minute {
		ru.faultf(loc, "GrantRenew", "%s leaves no renewal before the last minute of GrantFor, %s", li.GrantRenew.Std(), li.GrantFor.Std())
	}
	if li.KeyRetention < li.GrantFor {
		ru.faultf(loc, "KeyRetention", "%s is shorter than GrantFor, %s", li.KeyRetention.Std(), li.GrantFor.Std())
	}
}
