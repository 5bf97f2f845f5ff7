// Package callermemory accounts the memory that a process holds for its clients. It handles
// many clients that send large bodies or heads at once, stop short of their end and stay,
// or do not read their answers.
package callermemory

import (
	"cmp"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// smallBytes is how much a holder may have to count as small. Small holders may use
	// the reserved part. Ordinary bodies have up to 72 KB.
	smallBytes = 128 << 10
	// The total is divided by these for the part that only answers may use, and for that
	// of small holders.
	answerShare = 3
	smallShare  = 6
	// connPercent is the part of the total, in percent, that connections may use without
	// their heads and bodies. It is less than what is left beside the parts of answers and
	// small holders, so that idle connections leave memory for ordinary requests.
	connPercent = 40
	// stallTime is after what time without a byte a body counts as stalled. Clients are a
	// few ms away; a lost packet costs them 0.2 to 1 s.
	stallTime = 2 * time.Second
	// rateTime is the least age of a body of which the rate is compared.
	rateTime = 500 * time.Millisecond
	// slowRate is the rate in bytes a second below which a body is slow: the links of the
	// smallest instances, 10 Mbit/s, shared by 20 clients.
	slowRate = 64 << 10
)

// Class tells what memory is for.
type Class uint8

// Classes of memory.
const (
	Request Class = iota // connections, heads and bodies
	Answer
)

// Account has the memory of a process for its clients. A nil Account has no bound.
type Account struct {
	clk   citronstream.Clock
	total int

	mu       sync.Mutex
	used     int
	shedding int // held by bodies that were told to give up
	bodies   map[*Holder]struct{}
	held     map[string]int // by the bodies of a workspace
	released chan struct{}  // closed at the next release; nil if nobody waits
}

// Holder is what one connection or request holds. A nil Holder holds anything.
type Holder struct {
	account   *Account
	held      int
	reading   bool // its body is being read
	shed      bool // it was told to give up
	workspace string
	began     time.Time
	progress  time.Time // last byte of the body
	arrived   int       // bytes of the body
	abort     func()
}

// New returns an Account of a number of bytes.
func New(clk citronstream.Clock, total int) *Account {
	return &Account{clk: clk, total: total, bodies: make(map[*Holder]struct{}), held: make(map[string]int)}
}

// Used returns the bytes that are held.
func (ac *Account) Used() int {
	if ac == nil {
		return 0
	}
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.used
}

// Total returns the bytes that may be held, 0 for no bound.
func (ac *Account) Total() int {
	if ac == nil {
		return 0
	}
	return ac.total
}

// Open returns a Holder of nothing.
func (ac *Account) Open() *Holder {
	if ac == nil {
		return nil
	}
	return &Holder{account: ac}
}

// room returns how much of the account the holder may use. Answers have a part of their
// own, as their requests have run.
func (ho *Holder) room(bytes int, class Class) int {
	total := ho.account.total
	switch {
	case class == Answer:
		return total
	case ho.held+bytes <= smallBytes:
		return total - total/answerShare
	}
	return total - total/answerShare - total/smallShare
}

// Take reserves bytes. It returns false, and reserves nothing, if there is no room.
func (ho *Holder) Take(bytes int, class Class) bool {
	if ho == nil {
		return true
	}
	ho.account.mu.Lock()
	defer ho.account.mu.Unlock()
	if ho.shed || ho.account.used+bytes > ho.room(bytes, class) {
		return false
	}
	ho.add(bytes)
	return true
}

// Force reserves bytes that are in use already, and reports whether there was room.
func (ho *Holder) Force(bytes int) bool {
	if ho == nil {
		return true
	}
	ho.account.mu.Lock()
	defer ho.account.mu.Unlock()
	fits := ho.account.used+bytes <= ho.room(bytes, Request)
	ho.add(bytes)
	return fits
}

// Give gives bytes back.
func (ho *Holder) Give(bytes int) {
	if ho == nil || bytes == 0 {
		return
	}
	ho.account.mu.Lock()
	defer ho.account.mu.Unlock()
	ho.add(-bytes)
}

// Close gives everything back. It may be called more than once.
func (ho *Holder) Close() {
	if ho == nil {
		return
	}
	ho.Done()
	ho.account.mu.Lock()
	defer ho.account.mu.Unlock()
	ho.add(-ho.held)
}

// add changes what is held. The caller holds the lock.
func (ho *Holder) add(bytes int) {
	ac := ho.account
	ho.held += bytes
	ac.used += bytes
	if ho.shed {
		ac.shedding += bytes
	}
	if ho.reading {
		ac.held[ho.workspace] += bytes
	}
	if bytes < 0 && ac.released != nil {
		close(ac.released)
		ac.released = nil
	}
}

// Read marks that a body of a workspace begins to be read. Until Done, abort may be called
// to make the client's body give up; it must not block.
func (ho *Holder) Read(workspace string, abort func()) {
	if ho == nil {
		return
	}
	ac := ho.account
	ac.mu.Lock()
	defer ac.mu.Unlock()
	now := ac.clk.Now()
	ho.reading, ho.workspace, ho.abort, ho.began, ho.progress = true, workspace, abort, now, now
	ac.bodies[ho] = struct{}{}
	ac.held[workspace] += ho.held
}

// Arrived records bytes of the body.
func (ho *Holder) Arrived(bytes int) {
	if ho == nil {
		return
	}
	ho.account.mu.Lock()
	defer ho.account.mu.Unlock()
	ho.progress, ho.arrived = ho.account.clk.Now(), ho.arrived+bytes
}

// Done marks the end of the reading, and reports whether the body was told to give up.
func (ho *Holder) Done() (shed bool) {
	if ho == nil {
		return false
	}
	ac := ho.account
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ho.reading {
		ho.reading = false
		delete(ac.bodies, ho)
		if ac.held[ho.workspace] -= ho.held; ac.held[ho.workspace] == 0 {
			delete(ac.held, ho.workspace)
		}
	}
	return ho.shed
}

// Released returns a channel that is closed when memory is given back.
func (ac *Account) Released() <-chan struct{} {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.released == nil {
		ac.released = make(chan struct{})
	}
	return ac.released
}

// Shed tells bodies to give up until there will be room for bytes of a holder. It returns
// false, and tells none, if there would not be enough.
func (ho *Holder) Shed(bytes int, class Class) bool {
	ac := ho.account
	ac.mu.Lock()
	var victims []*Holder
	enough := func() bool { return ac.used-ac.shedding+bytes <= ho.room(bytes, class) }
	for !ho.shed && !enough() {
		victim := ac.victim(ho)
		if victim == nil {
			break
		}
		victim.markShed()
		victims = append(victims, victim)
	}
	ok := !ho.shed && enough()
	for _, victim := range victims {
		if !ok {
			victim.unmarkShed()
		}
	}
	ac.mu.Unlock()
	if !ok {
		return false
	}
	for _, victim := range victims {
		victim.abort()
	}
	return true
}

// ShedSlow tells the body that has stalled for longest to give up, else the slowest one of
// those that are slow, for the sake of its connection. It reports whether there is one.
func (ac *Account) ShedSlow() bool {
	if ac == nil {
		return false
	}
	ac.mu.Lock()
	victim := ac.slow(nil)
	if victim == nil {
		ac.mu.Unlock()
		return false
	}
	victim.markShed()
	ac.mu.Unlock()
	victim.abort()
	return true
}

// markShed marks that the holder is told to give up. The caller holds the lock.
func (ho *Holder) markShed() {
	ho.shed = true
	ho.account.shedding += ho.held
}

// unmarkShed takes that back, before the holder is told. The caller holds the lock.
func (ho *Holder) unmarkShed() {
	ho.shed = false
	ho.account.shedding -= ho.held
}

// victim returns the body that gives up next for the sake of a holder: the one that has
// stalled for longest, else the slowest one of those that are slow, else the largest one
// of the workspace that holds most, unless that is the holder's own.
func (ac *Account) victim(ho *Holder) *Holder {
	if victim := ac.slow(ho); victim != nil {
		return victim
	}
	most := ""
	for workspace, held := range ac.held {
		if cmp.Or(cmp.Compare(held, ac.held[most]), cmp.Compare(workspace, most)) > 0 {
			most = workspace
		}
	}
	if ho.reading && ho.workspace == most {
		return nil
	}
	return ac.least(func(other *Holder) (float64, bool) {
		return -float64(other.held), other != ho && other.workspace == most && other.held > smallBytes
	})
}

// slow returns the body that has stalled for longest, else the slowest one of those that
// are slow, except that of ho; nil if there is none.
func (ac *Account) slow(ho *Holder) *Holder {
	now := ac.clk.Now()
	stalled := ac.least(func(other *Holder) (float64, bool) {
		return float64(other.progress.Sub(now)), other != ho && now.Sub(other.progress) >= stallTime
	})
	if stalled != nil {
		return stalled
	}
	return ac.least(func(other *Holder) (float64, bool) {
		age := now.Sub(other.began)
		rate := float64(other.arrived) / max(age, time.Millisecond).Seconds()
		return rate, other != ho && age >= rateTime && rate < slowRate
	})
}

// least returns the fitting body with the least value, nil if none fits.
func (ac *Account) least(value func(other *Holder) (float64, bool)) (found *Holder) {
	lowest := 0.0
	for other := range ac.bodies {
		if other.shed {
			continue
		}
		if val, fits := value(other); fits && (found == nil || val < lowest) {
			found, lowest = other, val
		}
	}
	return found
}

// Fits reports whether a new small holder could have a number of bytes.
func (ac *Account) Fits(bytes int) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.used+bytes <= (&Holder{account: ac}).room(bytes, Request)
}

// FitsConn reports whether a new connection could have a number of bytes beside those that
// others have.
func (ac *Account) FitsConn(others, bytes int) bool {
	return (others+1)*bytes <= ac.total*connPercent/100 && ac.Fits(bytes)
}

// Wait reserves bytes for a holder. If bodies were told to give memory back, it waits for
// that, for a time at most.
func (ac *Account) Wait(ho *Holder, bytes int, class Class, most time.Duration) bool {
	if ho.Take(bytes, class) {
		return true
	}
	timeout := ac.clk.After(most)
	for {
		released := ac.Released()
		if ho.Take(bytes, class) {
			return true
		}
		if !ho.Shed(bytes, class) {
			return false
		}
		select {
		case <-released:
		case <-timeout:
			return ho.Take(bytes, class)
		}
	}
}
