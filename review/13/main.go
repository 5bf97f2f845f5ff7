//go:build review

// Command 13 takes servers away after a drill of the store, and looks whether they still get
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
	watched   = 12 * time.Second        // from then on; the servers go on serving all the while
	interval  = 50 * time.Millisecond
	deadline  = 1500 * time.Millisecond
	processes = 4
)

func main() { os.Exit(run()) }

func run() int {
	config := stand3.Config(3, true)
	wo, err := stand3.NewWorld("review/13/record.txt", processes, config)
	defer wo.Close()
	if err != nil {
		fmt.Println("the case can't run:", err)
		return stand3.NotRun
	}
	stop := make(chan struct{})
	go send(wo, stop)
	time.Sleep(copyAge + 3*time.Second)
	if stand3.Trouble() {
		if wo.Drill(copyAge, away, config) != nil {
			return stand3.NotRun
		}
	} else {
		time.Sleep(away)
	}
	time.Sleep(afterIt)
	desk := wo.Of("order-desk")
	left := make(map[string]time.Time)
	for i, se := range desk[:2] {
		leave, how := se.Leave, "its entry is removed"
		if i == 1 {
			leave, how = se.Drain, "reports draining"
		}
		version, err := leave()
		if err != nil {
			return stand3.NotRun
		}
		left[se.ID] = time.Now()
		wo.Record.Say("server %s: %s, acknowledged at store version %d; it goes on serving", se.ID, how, version)
	}
	time.Sleep(watched)
	close(stop)
	wo.Client.Wait()
	return judge(wo, left)
}

// send sends requests to all gateways.
func send(wo *stand3.World, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		method, path, body := "GET", "/stock/2f", ""
		if i%5 == 0 {
			method, path, body = "POST", "/order/7a", "one gasket"
		}
		wo.Client.Go(wo.Gateways[i%processes], stand3.KeyOne, method, path, body, deadline)
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
	case !wo.AllRun() || served < 100:
		return stand3.NotRun
	case len(late) > 0:
		wo.Record.Say("DRAIN is broken")
		return stand3.Broken
	}
	wo.Record.Say("DRAIN held")
	return stand3.Held
}
