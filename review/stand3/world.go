//go:build review

package stand3

import (
	"fmt"
	"os"
	"time"
)

// World is a small deployment: the store, servers, gateways and a client.
type World struct {
	Net      *Net
	Store    *Store
	Servers  []*Server
	Engines  []*Engine
	Arrivals *Arrivals
	Gateways []*Gateway
	Client   *Client
	Record   *Record
	Dir      string
}

// Zones of the deployment.
var Zones = []string{"se-a", "se-b", "se-c"}

// Kind of server, and how many of them there are.
type Kind struct {
	Service string
	Count   int
	Slots   int
}

// Kinds of the deployment.
var Kinds = []Kind{{"citron-pool", 9, 64}, {"order-desk", 3, 6}, {"warranty-desk", 3, 6}, {"catalog", 5, 6}, {"shipping", 5, 6}}

// Keys of the two tenants.
const (
	KeyOne = "9dnn2ctnfzs989anu6ws"
	KeyTwo = "jnbanfqasnmgkcuyj8pj"
)

// Host of all routes.
const Host = "pule25.example"

// Config returns a configuration. More routes may follow the two of the order desk.
func Config(version int, twoHasKey bool, routes ...map[string]any) map[string]any {
	all := []map[string]any{
		{"name": "r-order", "host": Host, "prefix": "/order/", "kind": "unsafe", "timeout-ms": 800, "target-latency-ms": 100, "priority": 2, "service": "order-desk", "max-attempts": 1, "allow-anonymous": false},
		{"name": "r-stock", "host": Host, "prefix": "/stock/", "kind": "safe", "timeout-ms": 800, "target-latency-ms": 100, "priority": 2, "service": "order-desk", "max-attempts": 2, "allow-anonymous": false},
	}
	var services []map[string]any
	for _, kind := range Kinds {
		services = append(services, map[string]any{"name": kind.Service, "health-check-path": "/health", "max-connections": 270, "protocol": "h1", "tls": false})
	}
	two := []string{}
	if twoHasKey {
		two = append(two, KeyTwo)
	}
	return map[string]any{
		"version": version, "routes": append(all, routes...), "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "one", "api-keys": []string{KeyOne}, "priority": 1}, {"name": "two", "api-keys": two, "priority": 1}},
	}
}

// NewWorld starts a deployment of plain servers and waits until its gateways are ready. Close
// ends it, also after an error.
func NewWorld(record string, gateways int, first map[string]any) (*World, error) {
	return Setup{Record: record, Gateways: gateways, Config: first, Kinds: Kinds}.Start()
}

// Setup describes a deployment.
type Setup struct {
	Record   string
	Gateways int
	Config   map[string]any
	Kinds    []Kind
	Engines  int    // of the service citron-pool
	Bad      string // prompt part that crashes them
	Begun    int    // events that they write on it before
	// Memory in MB and Descriptors of each machine; 0 for those of magseal-cs.
	Memory, Descriptors int
}

// Start starts the deployment.
func (se Setup) Start() (*World, error) {
	wo := &World{Net: NewNet(), Arrivals: &Arrivals{}, Client: &Client{Host: Host}}
	var err error
	if wo.Record, err = NewRecord(se.Record); err != nil {
		return wo, err
	}
	if wo.Dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return wo, err
	}
	if wo.Store, err = NewStore(wo.Net.IP() + ":0"); err != nil {
		return wo, err
	}
	if _, err = wo.Store.Put("op", "config", se.Config); err != nil {
		return wo, err
	}
	for _, kind := range se.Kinds {
		for i := range kind.Count {
			sv, err := NewServer(wo.Store, wo.Arrivals, wo.Net.IP()+":0", fmt.Sprintf("i-%s-%d", kind.Service, i+1), kind.Service, Zones[i%len(Zones)], kind.Slots)
			if err != nil {
				return wo, err
			}
			wo.Servers = append(wo.Servers, sv)
			time.Sleep(Heartbeat / 25) // their heartbeats come at different times
		}
	}
	if se.Engines > 0 {
		go wo.Store.Expire(3 * Heartbeat)
	}
	for i := range se.Engines {
		en, err := NewEngine(wo.Store, wo.Arrivals, wo.Net.IP()+":0", fmt.Sprintf("pool-%d", i+1), "citron-pool", Zones[i%len(Zones)], se.Bad)
		if err != nil {
			return wo, err
		}
		en.Begun = se.Begun
		wo.Engines = append(wo.Engines, en)
	}
	if wo.Gateways, err = NewGateways(wo.Net, wo.Dir, wo.Store.Address(), Zones, se.Gateways, func(settings map[string]any) {
		limits := settings["limits"].(map[string]any)
		if se.Memory > 0 {
			limits["memory-mb"] = se.Memory
		}
		if se.Descriptors > 0 {
			limits["file-descriptors"] = se.Descriptors
		}
	}); err != nil {
		return wo, err
	}
	return wo, AwaitReady(wo.Gateways, 20*time.Second)
}

// Of returns the servers of a service.
func (wo *World) Of(service string) (list []*Server) {
	for _, se := range wo.Servers {
		if se.Service == service {
			list = append(list, se)
		}
	}
	return list
}

// Close ends all processes and stand-ins.
func (wo *World) Close() {
	for _, ga := range wo.Gateways {
		ga.Kill()
	}
	for _, se := range wo.Servers {
		se.Close()
	}
	for _, en := range wo.Engines {
		en.Close()
	}
	if wo.Store != nil {
		wo.Store.Close()
	}
	if wo.Record != nil {
		wo.Record.Close()
	}
	if wo.Dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(wo.Dir)
	}
}

// AllRun reports whether each gateway's process still runs.
func (wo *World) AllRun() bool {
	for _, ga := range wo.Gateways {
		select {
		case <-ga.Ended():
			return false
		default:
		}
	}
	return true
}

// Drill is one of the store: it is away for a moment and comes back from a copy. What the
// operator wrote is written again at once, the servers write with their next heartbeats.
func (wo *World) Drill(copyAge, away time.Duration, config map[string]any) error {
	wo.Record.Say("store: goes away for %v, to come back from a copy that is then %v old", away, copyAge+away)
	before, after := wo.Store.Drill(copyAge, away)
	version, err := wo.Store.Put("op", "config", config)
	wo.Record.Say("store: is back; its version was %d and is %d; operator: writes its newest configuration again, at %d", before, after, version)
	return err
}
