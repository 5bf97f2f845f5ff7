//go:build review

// Command 15 takes servers away after a drill of the store, and looks whether they still get
// requests.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/citronstream/citronstream/review/stand3"
)

const (
	copyAge   = 7 * time.Second // of the copy when the store goes away
	away      = time.Second
	afterIt   = 3500 * time.Millisecond // from the store's return to the loss of the servers
	interval  = 4 * time.Second         // between two bursts of requests for the catalog
	burst     = 20                      // requests, a fourth of them at each gateway
	quiet     = time.Second             // from a burst to the loss of the servers
	watched   = 11 * time.Second        // from then on; the servers go on serving all the while
	deadline  = 1500 * time.Millisecond
	processes = 4
)

func main() { os.Exit(run()) }

func run() int {
	config := stand3.Config(3, true, map[string]any{
		"name": "r-catalog", "host": stand3.Host, "prefix": "/catalog/", "kind": "safe", "timeout-ms": 800, "target-latency-ms": 100, "priority": 2,
		"service": "catalog", "max-attempts": 2, "allow-anonymous": false,
	})
	wo, err := stand3.NewWorld("review/15/record.txt", processes, config)
	defer wo.Close()
	if err != nil {
		fmt.Println("the case can't run:", err)
		return stand3.NotRun
	}
	send(wo, copyAge+3*time.Second)
	if stand3.Trouble() {
		if wo.Drill(copyAge, away, config) != nil {
			return stand3.NotRun
		}
	} else {
		time.Sleep(away)
	}
	time.Sleep(afterIt - quiet)
	send(wo, quiet)
	left := make(map[string]time.Time)
	for _, se := range wo.Of("catalog")[:2] {
		version, err := se.Leave()
		if err != nil {
			return stand3.NotRun
		}
		left[se.ID] = time.Now()
		wo.Record.Say("server %s of zone %s: its entry is removed, acknowledged at store version %d; it goes on serving, and says in its answers that it leaves", se.ID, se.Zone, version)
	}
	time.Sleep(interval - quiet)
	send(wo, watched)
	wo.Client.Wait()
	return judge(wo, left)
}

// send sends bursts of requests to all gateways for some time.
func send(wo *stand3.World, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(min(interval, time.Until(end))) {
		for i := range burst {
			wo.Client.Go(wo.Gateways[i%processes], stand3.KeyOne, "GET", fmt.Sprintf("/catalog/%02x", i), "", deadline)
		}
	}
}

func judge(wo *stand3.World, left map[string]time.Time) int {
	ran := make(map[string]stand3.Arrival)
	late, last, all := make(map[string]int), make(map[string]time.Duration), 0
	for _, ar := range wo.Arrivals.All() {
		ran[ar.ID] = ar
		at, did := left[ar.Server]
		if after := ar.At.Sub(at); did && after > stand3.Drain {
			late[ar.Server]++
			last[ar.Server] = max(last[ar.Server], after).Round(time.Millisecond)
		}
		all++
	}
	served := 0
	for _, tr := range wo.Client.All() {
		if tr.Status == 200 {
			served++
		}
		wo.Record.Line(tr.Sent, "client: %s %s %s to %s, answered %d after %v, run by %q", tr.ID, tr.Method, tr.Path, tr.Gateway, tr.Status, tr.Took.Round(time.Millisecond), ran[tr.ID].Server)
	}
	wo.Record.Say("%d requests served, %d run; requests that reached a server that had left later than drain-ms: %v, the last ones %v after it left", served, all, late, last)
	switch {
	case !wo.AllRun() || served < 30:
		return stand3.NotRun
	case len(late) > 0:
		wo.Record.Say("DRAIN is broken")
		return stand3.Broken
	}
	wo.Record.Say("DRAIN held")
	return stand3.Held
}
