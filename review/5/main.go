//go:build review

// Command 5: a request that crashes servers comes again, and the gateways are
// restarted one after the other.
package main

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronstream/citronstream/review/rig"
)

func main() { rig.Main(play) }

const (
	// back is how long a server that has crashed is away.
	back = 2 * time.Second
	// pause is the time between two arrivals of the request.
	pause = time.Second
)

func play(ri *rig.Rig) int {
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		sv := ri.NewServer(id, "order-desk", "z-a")
		sv.Handle = func(sv *rig.Server, _ http.ResponseWriter, rq *http.Request) int {
			if !strings.HasSuffix(rq.URL.Path, "/deadly") {
				return 0
			}
			time.AfterFunc(back, sv.Up)
			return -1
		}
		servers = append(servers, sv)
	}
	ri.Configure(1, rig.Routes, "key")
	var gateways []*rig.Gateway
	var seeds []string
	for range 4 {
		door, _ := ri.OpenStore()
		ga := ri.NewGateway(rig.Settings{Zone: "z-a", Store: door, Seeds: seeds})
		gateways, seeds = append(gateways, ga), append(seeds, ga.Control)
	}
	time.Sleep(4 * time.Second)

	// The request comes at one machine after the other.
	round := func() {
		for _, ga := range slices.Concat(gateways, gateways) {
			send(ri, ga)
			time.Sleep(pause)
		}
	}
	round()
	if rig.Trouble() {
		ri.Note("all machines are stopped and started in turn")
	}
	// It comes again at each machine, twice, once that is in touch after its restart.
	var clients sync.WaitGroup
	for _, ga := range gateways {
		if rig.Trouble() {
			ga.Restart()
		} else {
			time.Sleep(3 * time.Second)
		}
		clients.Go(func() {
			for _, wait := range []time.Duration{rig.Contact + 200*time.Millisecond, 1600 * time.Millisecond} {
				time.Sleep(wait)
				send(ri, ga)
			}
		})
		time.Sleep(2 * time.Second)
	}
	clients.Wait()
	round()

	var crashes []rig.Arrival
	for _, sv := range servers {
		for _, ar := range sv.Arrivals() {
			if ar.Status == 0 {
				crashes = append(crashes, ar)
			}
		}
	}
	slices.SortFunc(crashes, func(a, b rig.Arrival) int { return a.At.Compare(b.At) })
	late := 0
	for i, ar := range crashes {
		if i < 3 || !ar.At.After(crashes[2].At.Add(rig.Contact)) || !touch[ar.ID] {
			continue
		}
		late++
		ri.Note("counted: request %s reached %s at %.3f, the third crash was at %.3f", ar.ID, ar.Server, ri.At(ar.At), ri.At(crashes[2].At))
	}
	ri.Note("%d crashes, %d sent by machines in touch later than contact-ms after the third; the rule allows 3", len(crashes), late)
	if late > 3 {
		ri.Note("BROKEN BUDGET")
		return rig.Broken
	}
	return rig.Held
}

var (
	servers []*rig.Server
	mu      sync.Mutex
	touch   = make(map[string]bool) // requests that were sent to a machine in touch
)

// send sends the request to a gateway.
func send(ri *rig.Rig, ga *rig.Gateway) {
	calm := ga.InTouch()
	an := ri.Call(ga, "POST", "/order/deadly", "key", "the same body", 1500*time.Millisecond)
	mu.Lock()
	touch[an.ID] = calm
	mu.Unlock()
	ri.Note("client %s: the deadly request at %s (in touch: %v) is answered %d", an.ID, ga.Name, calm, an.Status)
}
