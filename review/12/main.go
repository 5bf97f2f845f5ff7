//go:build review

// Command 12 takes a key away after a drill of the store, and looks whether it still works.
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
	beforeIt  = 500 * time.Millisecond // from the change of the configuration to the drill
	afterIt   = 4 * time.Second        // from the store's return to the loss of the key
	watched   = 20 * time.Second       // from the loss of the key on
	interval  = 50 * time.Millisecond
	deadline  = 1500 * time.Millisecond
	processes = 4
)

func main() { os.Exit(run()) }

func run() int {
	wo, err := stand3.NewWorld("review/12/record.txt", processes, stand3.Config(3, true))
	defer wo.Close()
	if err != nil {
		fmt.Println("the case can't run:", err)
		return stand3.NotRun
	}
	stop := make(chan struct{})
	go send(wo, stop)
	time.Sleep(copyAge - beforeIt + time.Second)
	second := stand3.Config(7, true, map[string]any{"name": "r-more", "host": stand3.Host, "prefix": "/more/", "kind": "safe", "timeout-ms": 800, "target-latency-ms": 100, "priority": 2, "service": "catalog", "max-attempts": 2})
	version, err := wo.Store.Put("op", "config", second)
	if err != nil {
		return stand3.NotRun
	}
	wo.Record.Say("operator: configuration 7, a route more, acknowledged at store version %d", version)
	time.Sleep(beforeIt)
	if stand3.Trouble() {
		if wo.Drill(copyAge, away, second) != nil {
			return stand3.NotRun
		}
	} else {
		time.Sleep(away)
	}
	time.Sleep(afterIt)
	third := stand3.Config(9, false)
	if version, err = wo.Store.Put("op", "config", third); err != nil {
		return stand3.NotRun
	}
	revoked := time.Now()
	wo.Record.Say("operator: configuration 9 takes the key of tenant two away, acknowledged at store version %d", version)
	time.Sleep(watched)
	close(stop)
	wo.Client.Wait()
	return judge(wo, revoked)
}

// send sends requests of both tenants to all gateways.
func send(wo *stand3.World, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		key, method, path, body := stand3.KeyOne, "GET", "/stock/2f", ""
		if i/processes%2 == 1 {
			key = stand3.KeyTwo
		}
		if i%5 == 0 {
			method, path, body = "POST", "/order/7a", "one gasket"
		}
		wo.Client.Go(wo.Gateways[i%processes], key, method, path, body, deadline)
	}
}

func judge(wo *stand3.World, revoked time.Time) int {
	ran := make(map[string]stand3.Arrival)
	for _, ar := range wo.Arrivals.All() {
		ran[ar.ID] = ar
	}
	late, soon, refused, served, others := 0, 0, 0, 0, 0
	stale := make(map[string]int)
	for _, tr := range wo.Client.All() {
		ar, did := ran[tr.ID]
		wo.Record.Line(tr.Sent, "client: %s %s %s with the key of %s to %s, answered %d after %v, run by %q for tenant %q", tr.ID, tr.Method, tr.Path, tenant(tr.Key), tr.Gateway, tr.Status, tr.Took.Round(time.Millisecond), ar.Server, ar.Tenant)
		after := tr.Sent.Sub(revoked)
		switch {
		case tr.Key == stand3.KeyOne && tr.Status == 200:
			served++
		case tr.Key == stand3.KeyOne:
			others++
		case after <= stand3.ConfigApply:
			if did && after > 0 {
				soon++
			}
		case did:
			late++
			stale[tr.Gateway]++
		case tr.Status == 401:
			refused++
		}
	}
	wo.Record.Say("tenant one: %d served, %d not; tenant two, whose key was taken away: %d run within config-apply-ms, %d run later (by gateway: %v), %d refused with 401 later", served, others, soon, late, stale, refused)
	switch {
	case !wo.AllRun() || served == 0 || late+refused < 50:
		return stand3.NotRun
	case late > 0:
		wo.Record.Say("CONFIG is broken")
		return stand3.Broken
	}
	wo.Record.Say("CONFIG held")
	return stand3.Held
}

func tenant(key string) string {
	if key == stand3.KeyOne {
		return "one"
	}
	return "two"
}
