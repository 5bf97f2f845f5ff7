package gateway

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// siteConfig is a configuration that changes kind by kind.
type siteConfig struct {
	Version  int              `json:"version"`
	Routes   []*routeConfig   `json:"routes"`
	Services []*serviceConfig `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []tenantConfig   `json:"tenants"`

	rng   *rand.Rand
	whole []*routeConfig // Routes with none removed
}

type (
	routeConfig struct {
		Name     string        `json:"name"`
		Host     string        `json:"host"`
		Prefix   string        `json:"prefix"`
		Kind     string        `json:"kind"`
		Timeout  int           `json:"timeout-ms"`
		Target   int           `json:"target-latency-ms"`
		Gap      int           `json:"gap-target-ms,omitempty"`
		Priority int           `json:"priority"`
		Service  string        `json:"service"`
		Split    []shareConfig `json:"traffic-split,omitempty"`
		Attempts int           `json:"max-attempts"`
		Resume   bool          `json:"resume-streams"`
		Open     bool          `json:"allow-anonymous"`
		Stages   []stageConfig `json:"stages,omitempty"`
	}
	shareConfig struct {
		Service string  `json:"service"`
		Weight  float64 `json:"weight"`
	}
	stageConfig struct {
		Service string `json:"service"`
		After   []int  `json:"after"`
		Bytes   int    `json:"bytes"`
	}
	serviceConfig struct {
		Name        string         `json:"name"`
		Connections int            `json:"max-connections,omitempty"`
		Engine      map[string]int `json:"engine,omitempty"`
		Pieces      map[string]int `json:"pieces,omitempty"`
	}
	tenantConfig struct {
		Name     string   `json:"name"`
		Keys     []string `json:"api-keys"`
		Priority *int     `json:"priority,omitempty"`
	}
)

// Shortest timeout of a route, and the smallest limits of callers. The requests of the
// tests stay within these.
const (
	shortTimeoutMs   = 1500
	smallHeaderBytes = 4096
	smallBodyBytes   = 50_000
	smallIdleMs      = 2000
	smallHeaderMs    = 1000
)

func newSiteConfig(seed uint64) *siteConfig {
	glue := []stageConfig{{Service: "cut", After: []int{}, Bytes: 100}, {Service: "glue", After: []int{0}, Bytes: 100}}
	route := func(name, kind, service string, timeout, target int) *routeConfig {
		rc := &routeConfig{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Service: service, Timeout: timeout, Target: target, Attempts: 2}
		if kind == "streaming" {
			rc.Prefix, rc.Gap = "/"+name+"/stream/", 500
		}
		return rc
	}
	sc := &siteConfig{Version: 1, rng: rand.New(rand.NewPCG(seed, 1))}
	draft, staged, open := route("draft", "streaming", "pool", 8000, 4000), route("staged", "streaming", "pool", 8000, 6000), route("open", "safe", "desk", 3000, 300)
	draft.Resume, staged.Resume, staged.Stages, open.Open = true, true, glue, true
	sc.whole = []*routeConfig{route("order", "unsafe", "desk", 3000, 300), route("look", "safe", "desk", 3000, 300), draft, route("once", "streaming", "pool", 8000, 4000), staged, open}
	sc.Routes = slices.Clone(sc.whole)
	for _, name := range []string{"desk", "desk2"} {
		sc.Services = append(sc.Services, &serviceConfig{Name: name, Connections: 50})
	}
	for _, name := range []string{"pool", "pool2"} {
		sc.Services = append(sc.Services, &serviceConfig{Name: name, Connections: 50, Engine: map[string]int{"slots": 4, "kv-cache-tokens": 1000}})
	}
	for name, ms := range map[string]int{"cut": 20, "cut2": 20, "glue": 150, "glue2": 150} {
		sc.Services = append(sc.Services, &serviceConfig{Name: name, Pieces: map[string]int{
			"slots": 1, "queue": 2, "batch": 8, "call-ms": ms, "item-ms": 1, "headroom-mb": 1, "handle-s": 4, "link-mbps": 10000,
		}})
	}
	slices.SortFunc(sc.Services, func(a, b *serviceConfig) int { return len(a.Name) - len(b.Name) })
	sc.Limits = map[string]int{"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	sc.Tenants = []tenantConfig{{Name: "w", Keys: []string{"key"}}}
	return sc
}

// changes are the kinds of changes. Each leaves a valid configuration.
var changes = map[string]func(sc *siteConfig){
	"move":     (*siteConfig).move,
	"weights":  (*siteConfig).setWeights,
	"routes":   (*siteConfig).removeOrAdd,
	"timeouts": (*siteConfig).setTimeouts,
	"tenants":  (*siteConfig).setTenants,
	"limits":   (*siteConfig).setLimits,
	"kinds":    (*siteConfig).setKinds,
	"stages":   (*siteConfig).setStages,
	"services": (*siteConfig).setServices,
	"big":      (*siteConfig).addMany,
	"odd":      (*siteConfig).setOdd,
}

// usualKinds returns the names of changes in a fixed order, but odd, after which most
// requests are refused.
func usualKinds() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(changes)), func(kind string) bool { return kind == "odd" })
}

func (sc *siteConfig) text() string {
	raw, err := json.Marshal(sc)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

func (sc *siteConfig) next() { sc.Version += 1 + sc.rng.IntN(3) }

func (sc *siteConfig) anyRoute() *routeConfig { return sc.whole[sc.rng.IntN(len(sc.whole))] }

// twin returns the other service of the same kind.
func twin(service string) string {
	if service[len(service)-1] == '2' {
		return service[:len(service)-1]
	}
	return service + "2"
}

func (sc *siteConfig) move() {
	rc := sc.anyRoute()
	rc.Service, rc.Split = twin(rc.Service), nil
}

func (sc *siteConfig) setWeights() {
	rc := sc.anyRoute()
	rc.Split = []shareConfig{{rc.Service, float64(sc.rng.IntN(3))}, {twin(rc.Service), 0.1 + sc.rng.Float64()}}
}

func (sc *siteConfig) removeOrAdd() {
	if len(sc.Routes) < len(sc.whole) || sc.rng.IntN(2) == 0 {
		sc.Routes = slices.Clone(sc.whole)
		return
	}
	at := sc.rng.IntN(len(sc.Routes))
	sc.Routes = slices.Delete(slices.Clone(sc.Routes), at, at+1)
}

func (sc *siteConfig) setTimeouts() {
	rc := sc.anyRoute()
	rc.Timeout = shortTimeoutMs + sc.rng.IntN(8000)
	rc.Target = min(rc.Timeout, 300+sc.rng.IntN(6000))
}

func (sc *siteConfig) setTenants() {
	rank := sc.rng.IntN(6)
	sc.Tenants = [][]tenantConfig{
		{{Name: "w", Keys: []string{"key"}}},
		{{Name: "v", Keys: []string{"key"}, Priority: &rank}},
		{{Name: "w", Keys: []string{"new"}}, {Name: "v", Keys: []string{"key"}}},
		{{Name: "w", Keys: []string{"new"}}},
		{},
	}[sc.rng.IntN(5)]
}

func (sc *siteConfig) setLimits() {
	sc.Limits = map[string]int{
		"max-header-bytes": smallHeaderBytes << sc.rng.IntN(5), "max-body-bytes": smallBodyBytes << sc.rng.IntN(4),
		"header-timeout-ms": smallHeaderMs << sc.rng.IntN(3), "idle-timeout-ms": smallIdleMs << sc.rng.IntN(4),
	}
}

func (sc *siteConfig) setKinds() {
	rc := sc.anyRoute()
	rc.Attempts, rc.Priority = 1+sc.rng.IntN(4), sc.rng.IntN(6)
	if rc.Kind == "streaming" {
		rc.Resume = !rc.Resume
		return
	}
	rc.Kind = []string{"safe", "unsafe"}[sc.rng.IntN(2)]
}

func (sc *siteConfig) setStages() {
	rc := sc.whole[4]
	cut, glue := stageConfig{"cut", []int{}, 100}, stageConfig{"glue", []int{0}, 100}
	if sc.rng.IntN(2) == 0 {
		cut.Service, glue.Service = "cut2", "glue2"
	}
	rc.Stages = [][]stageConfig{{cut, glue}, {cut}, {cut, {"cut2", []int{}, 1000}, {"glue", []int{0, 1}, 100}}, nil}[sc.rng.IntN(4)]
}

func (sc *siteConfig) setServices() {
	service := sc.Services[sc.rng.IntN(len(sc.Services))]
	if service.Pieces == nil {
		service.Connections = 4 + sc.rng.IntN(60)
		return
	}
	service.Pieces = maps.Clone(service.Pieces)
	service.Pieces["slots"], service.Pieces["batch"], service.Pieces["handle-s"] = 1+sc.rng.IntN(3), 1+sc.rng.IntN(16), 1+sc.rng.IntN(4)
	service.Pieces["headroom-mb"], service.Pieces["call-ms"] = 1+sc.rng.IntN(2), 10+sc.rng.IntN(300)
}

func (sc *siteConfig) addMany() {
	sc.Routes = slices.Clone(sc.whole)
	for i := range 100 + sc.rng.IntN(1000) {
		sc.Routes = append(sc.Routes, &routeConfig{Name: fmt.Sprint("more-", i), Host: "h", Prefix: fmt.Sprintf("/more/%d/", i), Kind: "safe", Service: "desk", Timeout: 3000, Target: 300, Attempts: 2})
	}
}

// setOdd sets numbers to 0, leaves parts out or names services that there are not.
func (sc *siteConfig) setOdd() {
	rc, service := sc.anyRoute(), sc.Services[sc.rng.IntN(len(sc.Services))]
	switch sc.rng.IntN(9) {
	case 0:
		rc.Service = "nowhere2"
	case 1:
		rc.Timeout = 0
	case 2:
		rc.Target, rc.Attempts, rc.Priority = 0, 0, -3
	case 3:
		sc.Limits = map[string]int{}
	case 4:
		rc.Split = []shareConfig{{rc.Service, 0}, {twin(rc.Service), 0}}
	case 5:
		rc.Stages = []stageConfig{{"nowhere", []int{}, 100}, {"glue", []int{0}, 0}}
	case 6:
		service.Pieces = map[string]int{"slots": 1}
	case 7:
		service.Connections, service.Engine = 0, nil
	case 8:
		service.Pieces = nil
	}
}
