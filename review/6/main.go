//go:build review

// Command review-6 shows that a piece is given only some of its inputs after one server of a
// stage has crashed.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream/review/stand2"
)

// after has the stages whose results each stage of the route needs: 0 and 4 run at catalog, 1
// and 3 at warranty-desk, 2 and 5 at shipping.
var after = [][]int{{}, {}, {}, {0, 1}, {1, 2}, {3, 4}}

// pieces of each request by stage.
var pieces = []int{1, 1, 18, 1, 1, 1}

const config = `{"version":3,"routes":[
{"name":"letter","host":"letters.example","prefix":"/letter/","kind":"streaming","timeout-ms":12000,"target-latency-ms":4000,"gap-target-ms":600,"priority":1,"service":"citron-pool","max-attempts":2,"resume-streams":true,"session-affinity":true,
 "stages":[{"service":"catalog","after":[],"bytes":60000},{"service":"warranty-desk","after":[],"bytes":800000},{"service":"shipping","after":[],"bytes":3000},{"service":"warranty-desk","after":[0,1],"bytes":8000},{"service":"catalog","after":[1,2],"bytes":60000},{"service":"shipping","after":[3,4],"bytes":6000}]}],
"services":[{"name":"citron-pool","max-connections":270,"engine":{"slots":64,"kv-cache-tokens":445925}},
{"name":"warranty-desk","max-connections":270,"pieces":{"slots":1,"queue":2,"batch":8,"call-ms":240,"item-ms":26,"headroom-mb":9.6,"handle-s":4,"link-mbps":10000}},
{"name":"catalog","max-connections":270,"pieces":{"slots":1,"queue":2,"batch":12,"call-ms":240,"item-ms":17,"headroom-mb":1.3,"handle-s":4,"link-mbps":10000}},
{"name":"shipping","max-connections":270,"pieces":{"slots":1,"queue":2,"batch":18,"call-ms":240,"item-ms":11,"headroom-mb":0.2,"handle-s":4,"link-mbps":10000}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["key1key1key1"]}]}`

const (
	// rounds of one crash each, with time between them for the server to come back.
	rounds      = 15
	between     = 6 * time.Second
	downFor     = 4500 * time.Millisecond
	requestGap  = 700 * time.Millisecond
	workedSince = 120 * time.Millisecond
)

func main() {
	code := run()
	os.Exit(code)
}

func run() int {
	record, err := stand2.NewRecord("review/6/record.txt")
	if err != nil {
		fmt.Println(err)
		return stand2.CantRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	zones := []string{"se-a", "se-b", "se-c"}
	fl, err := stand2.NewFleet(record, config, stand2.Options{Zones: zones})
	if fl != nil {
		defer fl.Close()
	}
	if err != nil {
		fmt.Println(err)
		return stand2.CantRun
	}
	wo := stand2.NewWorld(record, fl.Store)
	var wrong, whole, served, sent atomic.Int64
	check := func(where, id string, inputs []string, stages []int) {
		got, seen := map[int]int{}, map[string]bool{}
		for _, handle := range inputs {
			re, known := wo.Meaning(handle)
			if !known || re.Request != id || !slices.Contains(stages, re.Stage) {
				record.Log("WRONG INPUT at %s: id %s got %q", where, id, handle)
				wrong.Add(1)
				return
			}
			if seen[handle] {
				record.Log("BROKEN MIXED at %s: id %s got %s twice", where, id, handle)
				wrong.Add(1)
				return
			}
			seen[handle] = true
			got[re.Stage]++
		}
		for _, st := range stages {
			if got[st] != pieces[st] {
				record.Log("BROKEN MIXED at %s: id %s got %d of %d results of stage %d, inputs %v", where, id, got[st], pieces[st], st, inputs)
				wrong.Add(1)
				return
			}
		}
		whole.Add(1)
	}
	wo.OnItem = func(sv *stand2.Server, it stand2.Item) {
		if len(after[it.Stage]) > 0 {
			check(fmt.Sprintf("%s stage %d", sv.ID, it.Stage), it.ID, it.Inputs, after[it.Stage])
		}
	}
	wo.OnRun = func(sv *stand2.Server, id string, inputs []string, _ http.Header) {
		check(sv.ID, id, inputs, []int{5})
	}

	desk := stand2.Spec{Service: "warranty-desk", Slots: 1, Queue: 2, Batch: 8, CallMs: 240, ItemMs: 26, HandleS: 4}
	catalog := stand2.Spec{Service: "catalog", Slots: 1, Queue: 2, Batch: 12, CallMs: 240, ItemMs: 17, HandleS: 4}
	shipping := stand2.Spec{Service: "shipping", Slots: 1, Queue: 2, Batch: 18, CallMs: 240, ItemMs: 11, HandleS: 4}
	engine := stand2.Spec{Service: "citron-pool", Slots: 64, Queue: 192, Engine: true, Events: 10, GapMs: 20}
	var mu sync.Mutex
	var desks []*stand2.Server
	for i, spec := range []stand2.Spec{desk, desk, desk, catalog, catalog, catalog, catalog, catalog, shipping, shipping, shipping, shipping, shipping, engine, engine, engine} {
		sv, err := wo.Start(spec, zones[i%3], "")
		if err != nil {
			fmt.Println(err)
			return stand2.CantRun
		}
		if spec.Service == "warranty-desk" {
			desks = append(desks, sv)
		}
	}
	if err := fl.WaitReady(10 * time.Second); err != nil {
		fmt.Println(err)
		return stand2.CantRun
	}
	time.Sleep(4 * time.Second)

	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		ticker := time.NewTicker(requestGap)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			ga := fl.Gateways[rand.IntN(len(fl.Gateways))]
			id := fmt.Sprintf("%016x", 0x1000000+i)
			callers.Go(func() {
				sent.Add(1)
				status := call(ga.Front, id)
				record.Log("caller: id %s to %s: %s", id, ga.Name, status)
				if status == "200 complete" {
					served.Add(1)
				}
			})
		}
	})
	time.Sleep(4 * time.Second)
	for round := 0; round < rounds && wrong.Load() == 0; round++ {
		if !trouble {
			time.Sleep(between)
			if round >= 3 {
				break
			}
			continue
		}
		// One of the three servers crashes while it works on a piece of stage 3, of which it holds
		// an input.
		var victim *stand2.Server
		for victim == nil {
			mu.Lock()
			for _, sv := range desks {
				for _, wk := range sv.Working() {
					if time.Since(wk.Since) > workedSince && slices.ContainsFunc(wk.Items, func(it stand2.Item) bool { return it.Stage == 3 && holdsInput(wo, sv, it) }) {
						victim = sv
					}
				}
			}
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
		victim.Crash()
		time.Sleep(downFor)
		fresh, err := wo.Start(desk, victim.Zone, victim.Address)
		if err != nil {
			fresh, err = wo.Start(desk, victim.Zone, "")
		}
		if err != nil {
			fmt.Println(err)
			return stand2.CantRun
		}
		desks[slices.Index(desks, victim)] = fresh
		time.Sleep(between - downFor)
	}
	close(stop)
	callers.Wait()
	record.Log("sent %d, served %d, pieces and runs with all inputs %d, with wrong ones %d", sent.Load(), served.Load(), whole.Load(), wrong.Load())
	fmt.Printf("sent %d, served %d, pieces and runs with all inputs %d, with wrong ones %d\n", sent.Load(), served.Load(), whole.Load(), wrong.Load())
	switch {
	case wrong.Load() > 0:
		return stand2.Broken
	case served.Load() == 0:
		return stand2.CantRun
	}
	return stand2.Held
}

// holdsInput reports whether a server made one of the inputs of a piece.
func holdsInput(wo *stand2.World, sv *stand2.Server, it stand2.Item) bool {
	return slices.ContainsFunc(it.Inputs, func(handle string) bool {
		re, known := wo.Meaning(handle)
		return known && re.Server == sv
	})
}

// call sends one request and reads its answer.
func call(address, id string) string {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(13 * time.Second))
	fmt.Fprintf(nc, "POST /letter/%s HTTP/1.1\r\nHost: letters.example\r\nX-Citronstream-Request-Id: %s\r\nX-Citronstream-Deadline-Remaining: 12000\r\nX-Citronstream-Model: m\r\nX-Citronstream-Token-Usage: 800,70\r\nX-Citronstream-Prompt-Prefix: 5c1e07a2:119,%s:681\r\nX-Citronstream-Pieces: 1,1,18,1,1,1\r\nX-Citronstream-Piece-Key: %s\r\nAuthorization: Token key1key1key1\r\nContent-Length: 4\r\n\r\nbody", id[10:], id, id[8:], id[4:])
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Sprintf("%d cut after %d bytes", res.StatusCode, len(body))
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Sprintf("%d %s", res.StatusCode, body)
	}
	return "200 complete"
}
