package sitesoak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
)

// fault begins a fault, which ends by itself. Several may be under way.
func (wo *world) fault() {
	kinds := []func() string{
		wo.killGateway, wo.terminateGateway, wo.pauseGateway, wo.reloadGateway,
		wo.breakStore, wo.restoreStore, wo.breakWayToStore, wo.breakWayToUpstream,
		wo.breakUpstream, wo.drainUpstream, wo.changeConfiguration, wo.sendCrowd,
	}
	if wo.copies = append(wo.copies, wo.st.Copy()); len(wo.copies) > maxCopies {
		wo.copies = wo.copies[1:]
	}
	text := kinds[wo.rng.IntN(len(kinds))]()
	wo.story = append(wo.story, clk.Now().Format("05.000")+" "+text)
}

// span returns a random time up to a bound.
func (wo *world) span(most time.Duration) time.Duration {
	return time.Duration(1 + wo.rng.Int64N(int64(most)))
}

// later ends a fault after a time.
func (wo *world) later(after time.Duration, end func()) {
	wo.faults.Go(func() {
		clk.Sleep(after)
		end()
	})
}

func (wo *world) killGateway() string {
	ga := wo.gateways[wo.rng.IntN(gateways)]
	if !ga.take() {
		return "none"
	}
	ga.signal(syscall.SIGKILL)
	wo.later(wo.span(time.Second), func() {
		_ = ga.wait() // it was killed
		ga.restart()
	})
	return "SIGKILL of " + ga.name
}

func (wo *world) terminateGateway() string {
	ga := wo.gateways[wo.rng.IntN(gateways)]
	if !ga.take() {
		return "none"
	}
	ga.signal(syscall.SIGTERM)
	wo.later(0, func() {
		if !ga.wait() {
			wo.t.Errorf("%s did not end by itself within the grace period", ga.name)
		}
		ga.restart()
	})
	return "SIGTERM of " + ga.name
}

func (wo *world) pauseGateway() string {
	ga := wo.gateways[wo.rng.IntN(gateways)]
	if !ga.take() {
		return "none"
	}
	ga.signal(syscall.SIGSTOP)
	wo.later(wo.span(2*time.Second), func() {
		ga.signal(syscall.SIGCONT)
		ga.give()
	})
	return "SIGSTOP of " + ga.name
}

func (wo *world) reloadGateway() string {
	ga := wo.gateways[wo.rng.IntN(gateways)]
	if !ga.take() {
		return "none"
	}
	defer ga.give()
	ga.signal(syscall.SIGHUP)
	return "SIGHUP of " + ga.name
}

func (wo *world) breakStore() string {
	at, fault := wo.rng.IntN(gateways), []int32{site.Refuses, site.Silent, site.Loses}[wo.rng.IntN(3)]
	door := wo.doors[at]
	door.Fault(fault)
	if wo.rng.IntN(3) == 0 {
		wo.st.Forget()
	}
	wo.later(wo.span(2*time.Second), func() { door.Fault(site.Sound) })
	return fmt.Sprintf("store fault %d for %s", fault, wo.gateways[at].name)
}

// maxCopies is the number of copies of the store that are kept, one for each fault. They reach
// back some seconds.
const maxCopies = 10

// restoreStore brings the store back from an older copy after a moment. The operator and the
// upstreams then write again what it lacks.
func (wo *world) restoreStore() string {
	for _, door := range wo.doors {
		door.Fault(site.Refuses)
	}
	at := wo.rng.IntN(len(wo.copies))
	co := wo.copies[at]
	wo.later(wo.span(time.Second), func() {
		wo.st.Restore(co)
		wo.rewrite()
		for _, door := range wo.doors {
			door.Fault(site.Sound)
		}
	})
	return fmt.Sprintf("store comes back from the copy of %d faults before", len(wo.copies)-1-at)
}

// rewrite writes the newest rows of the operator and the upstreams.
func (wo *world) rewrite() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.st.Configure(wo.version, "")
	for _, up := range wo.ups {
		wo.st.List(up, site.Ready)
	}
}

func (wo *world) breakWayToStore() string {
	at := wo.rng.IntN(gateways)
	return "way of " + wo.gateways[at].name + " to the store: " + wo.breakWay(wo.stores[at])
}

func (wo *world) breakWayToUpstream() string {
	at := wo.rng.IntN(len(wo.ups))
	return "way to " + wo.ups[at].ID + ": " + wo.breakWay(wo.ways[at])
}

func (wo *world) breakWay(way *proxy) string {
	switch wo.rng.IntN(4) {
	case 0:
		way.reset()
		return "reset"
	case 1:
		way.silence()
		return "silent"
	case 2:
		way.oneWay.Store(true)
		wo.later(wo.span(time.Second), way.heal)
		return "cut one way"
	default:
		way.delay.Store(int64(wo.span(100 * time.Millisecond)))
		wo.later(wo.span(time.Second), way.heal)
		return "delayed"
	}
}

func (wo *world) breakUpstream() string {
	up := wo.ups[wo.rng.IntN(len(wo.ups))]
	sw, name := &up.Reset, "resets"
	switch wo.rng.IntN(4) {
	case 0:
		sw, name = &up.Refuse, "refuses, and again until all faults end"
		up.Copies.Store(1)
		up.Nameless.Store(len(wo.story)%2 == 1)
	case 1:
		sw, name = &up.Unsigned, "does not sign"
	case 2:
		sw, name = &up.Unmarked, "fails with 503"
	}
	sw.Store(true)
	wo.later(wo.span(time.Second), func() { sw.Store(false) })
	return up.ID + " " + name
}

func (wo *world) drainUpstream() string {
	up := wo.ups[wo.rng.IntN(len(wo.ups))]
	if wo.rng.IntN(2) == 0 {
		wo.st.List(up, site.Draining)
	} else {
		wo.st.Unlist(up)
	}
	wo.later(wo.span(time.Second), func() { wo.st.List(up, site.Ready) })
	return up.ID + " leaves"
}

func (wo *world) changeConfiguration() string {
	wo.configure()
	return "configuration"
}

// crowd is the number of clients of one fault that do not behave.
const crowd = 40

// crowdID is the identifier of their requests, none of which ends.
const crowdID = "crowd"

// sendCrowd sends clients that stop short of the end of a head or body of legal size, and
// stay for a while.
func (wo *world) sendCrowd() string {
	ga := wo.gateways[wo.rng.IntN(gateways)]
	var head strings.Builder
	_ = site.CallerHeader(crowdID).Write(&head)
	begin := "POST /look/ HTTP/1.1\r\nHost: h\r\n" + head.String()
	kinds := []struct{ name, text string }{
		{"heads of short lines", begin + strings.Repeat("a:\r\n", 3000)},
		{"bodies", begin + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 99_999)},
		{"chunks of one byte", begin + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 50_000)},
		{"trailers", begin + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + strings.Repeat("t:\r\n", 900)},
		{"nothing", ""},
	}
	kind := kinds[wo.rng.IntN(len(kinds))]
	stay := wo.span(2 * time.Second)
	for range crowd {
		wo.faults.Go(func() {
			nc, err := net.DialTimeout("tcp", ga.callers, time.Second)
			if err != nil {
				return // the gateway is down
			}
			defer func() { _ = nc.Close() }()
			_ = nc.SetWriteDeadline(clk.Now().Add(stay))
			_, _ = io.WriteString(nc, kind.text) // it may be refused
			clk.Sleep(stay)
		})
	}
	return fmt.Sprintf("%d clients of %s with %s", crowd, ga.name, kind.name)
}

// heal ends all faults.
func (wo *world) heal() {
	for _, way := range append(wo.ways, wo.stores...) {
		way.heal()
	}
	for _, door := range wo.doors {
		door.Fault(site.Sound)
	}
	for _, up := range wo.ups {
		up.Copies.Store(0)
		wo.st.List(up, site.Ready)
	}
}
