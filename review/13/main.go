//go:build review

// Command 13 sends requests with a prompt part that crashes model servers, before and after
// all processes of the system were killed.
package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/citronstream/citronstream/review/stand3"
)

const (
	bad       = "bad00001"
	engines   = 9
	processes = 4
	deadline  = 12 * time.Second
)

func env(name string, usual int) time.Duration {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return time.Duration(value) * time.Millisecond
	}
	return time.Duration(usual) * time.Millisecond
}

var (
	badEvery   = env("BAD_EVERY", 50)
	soundEvery = env("SOUND_EVERY", 50)
	firstPart  = env("FIRST", 12000)
	lull       = env("LULL", 5000)
	secondPart = env("SECOND", 12000)
)

func main() { os.Exit(run()) }

func config() map[string]any {
	route := func(name, prefix string, attempts int, resume bool) map[string]any {
		return map[string]any{"name": name, "host": stand3.Host, "prefix": prefix, "kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 1500, "priority": 0, "service": "citron-pool", "max-attempts": attempts, "session-affinity": true, "resume-streams": resume, "gap-target-ms": 600, "allow-anonymous": false}
	}
	co := stand3.Config(3, true, route("r-spec", "/spec/", 1, false), route("r-letter", "/letter/", 2, true))
	for _, se := range co["services"].([]map[string]any) {
		if se["name"] == "citron-pool" {
			se["engine"] = map[string]any{"slots": 64, "kv-cache-tokens": 445925, "kv-bytes": 18432, "link-mbps": 740000.0, "moves": true, "backups": true, "stride": 7, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []map[string]any{{"name": "m"}}}
		}
	}
	return co
}

// sender sends requests of one sort to the gateways in turn.
type sender struct {
	wo  *stand3.World
	mu  sync.Mutex
	bad map[string]bool
	n   int
}

func (se *sender) send(poison bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.n++
	path, second := "/spec/1a", fmt.Sprintf("aa%06x", se.n%6)
	if os.Getenv("LETTERS") != "" && se.n%2 == 0 {
		path = "/letter/1a"
	}
	if poison {
		second = bad
	}
	prefix := fmt.Sprintf("0a0a0a0a:512,%s:1000,%08x:300", second, 1<<20+se.n)
	id := se.wo.Client.Go(se.wo.Gateways[se.n%processes], stand3.KeyOne, "POST", path, fmt.Sprintf("prompt %d", se.n), deadline,
		"X-Citronstream-Model", "m", "X-Citronstream-Token-Usage", "1812,140", "X-Citronstream-Prompt-Prefix", prefix)
	if poison {
		se.bad[id] = true
	}
}

func (se *sender) every(interval, length time.Duration, poison bool) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		se.send(poison)
	}
}

func run() int {
	setup := stand3.Setup{Record: "review/13/record.txt", Gateways: processes, Config: config(), Kinds: stand3.Kinds[1:], Engines: engines, Bad: bad}
	wo, err := setup.Start()
	defer wo.Close()
	if err != nil {
		fmt.Println("the case can't run:", err)
		return stand3.NotRun
	}
	se := &sender{wo: wo, bad: make(map[string]bool)}
	total := 4*time.Second + firstPart + time.Second + lull + secondPart
	go se.every(soundEvery, total, false)
	time.Sleep(4 * time.Second)
	wo.Record.Say("clients: requests with part %s begin", bad)
	se.every(badEvery, firstPart, true)
	wo.Record.Say("clients: they pause; crashes so far: %d", len(crashes(wo)))
	if stand3.Trouble() {
		for _, ga := range wo.Gateways {
			ga.Kill()
		}
		wo.Record.Say("all %d processes of the system are killed", processes)
		time.Sleep(time.Second)
		for _, ga := range wo.Gateways {
			if ga.Start() != nil {
				return stand3.NotRun
			}
		}
		wo.Record.Say("they start again")
	} else {
		time.Sleep(time.Second)
	}
	restarted := time.Now()
	time.Sleep(lull)
	wo.Record.Say("clients: requests with part %s begin again", bad)
	se.every(badEvery, secondPart, true)
	wo.Client.Wait()
	return judge(wo, se, restarted)
}

func crashes(wo *stand3.World) (all []time.Time) {
	for _, en := range wo.Engines {
		all = append(all, en.Crashes()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) })
	return all
}

func judge(wo *stand3.World, se *sender, restarted time.Time) int {
	all := crashes(wo)
	for i, at := range all {
		wo.Record.Line(at, "crash %d of an engine", i+1)
	}
	ran := make(map[string][]stand3.Arrival)
	for _, ar := range wo.Arrivals.All() {
		ran[ar.ID] = append(ran[ar.ID], ar)
	}
	counts := make(map[string]int)
	for _, tr := range wo.Client.All() {
		sort := "sound"
		if se.bad[tr.ID] {
			sort = "bad"
		}
		counts[fmt.Sprintf("%s %d", sort, tr.Status)]++
		wo.Record.Line(tr.Sent, "client: %s %s (%s) to %s, answered %d after %v, arrived at %d servers", tr.ID, tr.Path, sort, tr.Gateway, tr.Status, tr.Took.Round(time.Millisecond), len(ran[tr.ID]))
	}
	late, arrivals := 0, 0
	for id, list := range ran {
		for _, ar := range list {
			if !se.bad[id] {
				continue
			}
			arrivals++
			wo.Record.Line(ar.At, "server: %s begins with %s, which has the part", ar.Server, id)
			if len(all) >= 5 && ar.At.After(all[4].Add(stand3.Contact)) && (ar.At.After(restarted.Add(stand3.Contact)) || ar.At.Before(restarted.Add(-time.Second))) {
				late++
			}
		}
	}
	wo.Record.Say("%d crashes; %d requests with the part reached servers, %d of them later than contact-ms after the fifth crash, from machines in touch; answers %v", len(all), arrivals, late, counts)
	switch {
	case !wo.AllRun() || len(all) < 3:
		return stand3.NotRun
	case late > 3:
		wo.Record.Say("BUDGET is broken")
		return stand3.Broken
	}
	wo.Record.Say("BUDGET held")
	return stand3.Held
}
