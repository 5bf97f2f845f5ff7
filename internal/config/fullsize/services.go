package fullsize

import (
	"fmt"

	"github.com/citronstream/citronstream"
)

const gib = 1 << 30

// serviceClass is a group of services with the same kind, protocol and calls.
type serviceClass struct {
	kind, protocol string
	names          []string
	upstreams      int
	capacity       int
	accelerators   int
	models         [][]string // by service
	calls          []citronstream.ServiceCall
}

func modelNames(prefix string, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("%s-%d", prefix, i+1))
	}
	return names
}

// addModels adds 19 models: 12 for generation, 3 for encoding, 4 for reranking.
func (ge *Generator) addModels() {
	for i, name := range modelNames("draft", 12) {
		ge.fl.Models = append(ge.fl.Models, citronstream.Model{
			Name: name, Version: "1", Bytes: int64(8+4*i) * gib, Adapters: []string{name + "-forms", name + "-seals"},
		})
	}
	for _, name := range append(modelNames("embed", 3), modelNames("order", 4)...) {
		ge.fl.Models = append(ge.fl.Models, citronstream.Model{Name: name, Version: "1", Bytes: 2 * gib})
	}
}

func singletons(names []string) [][]string {
	var lists [][]string
	for _, name := range names {
		lists = append(lists, []string{name})
	}
	return lists
}

func serviceClasses() []serviceClass {
	draft := modelNames("draft", 12)
	var pairs [][]string
	for i := 0; i < len(draft); i += 2 {
		pairs = append(pairs, draft[i:i+2])
	}
	return []serviceClass{
		{citronstream.KindEngine, "completions", modelNames("engine", 6), engines, 32, 8, pairs, []citronstream.ServiceCall{
			{Name: "generate", Path: "/v1/completions", Idempotent: true, Cost: 20, Streams: true},
		}},
		{citronstream.KindEncoder, "jsonpost", modelNames("encoder", 3), encoders, 16, 2, singletons(modelNames("embed", 3)), []citronstream.ServiceCall{
			{Name: "encode", Path: "/encode", Idempotent: true, Cost: 1},
		}},
		{citronstream.KindRetriever, "jsonpost", modelNames("retriever", 2), retrievers, 32, 0, nil, []citronstream.ServiceCall{
			{Name: "retrieve", Path: "/retrieve", Idempotent: true, Cost: 2},
		}},
		{citronstream.KindReranker, "jsonpost", modelNames("reranker", 4), rerankers, 16, 2, singletons(modelNames("order", 4)), []citronstream.ServiceCall{
			{Name: "rerank", Path: "/rerank", Idempotent: true, Cost: 4},
		}},
		{citronstream.KindPlain, "plain", modelNames("desk", 8), plain, 16, 0, nil, []citronstream.ServiceCall{
			{Name: "submit", Path: "/submit", Rank: "urgent", Cost: 1},
			{Name: "look-up", Path: "/look-up", Idempotent: true, Rank: "urgent", Cost: 0.5},
		}},
	}
}

func (ge *Generator) addServices() {
	for _, cl := range serviceClasses() {
		for i, name := range cl.names {
			ge.fl.Services = append(ge.fl.Services, citronstream.Service{
				Name: name, Kind: cl.kind, Protocol: cl.protocol, Owner: owner(i),
				ReportsLoad:   cl.kind == citronstream.KindEngine || cl.kind == citronstream.KindPlain,
				ChecksFencing: cl.kind == citronstream.KindEngine && i%3 != 0, Calls: cl.calls,
			})
		}
	}
}

// addUpstreams distributes the upstreams of each service round-robin over the regions, and
// within a region over its zones.
func (ge *Generator) addUpstreams() {
	total := 0
	for _, cl := range serviceClasses() {
		for i := range cl.upstreams {
			service, round := i%len(cl.names), i/len(cl.names)
			name := fmt.Sprintf("%s-%03d", cl.names[service], round+1)
			// The running total makes each class start at a different region.
			host, ip := ge.addInstance(name, round+service+total, round/regions)
			up := citronstream.Upstream{
				Name: name, Service: cl.names[service], Instance: host, Address: ip + ":21000", Agent: ip + ":21001",
				Capacity: cl.capacity, Accelerators: cl.accelerators,
			}
			if cl.models != nil {
				up.Models = cl.models[service]
			}
			ge.fl.Upstreams = append(ge.fl.Upstreams, up)
		}
		total += cl.upstreams
	}
}

// addPipelines adds pipelines of 3 to 6 stages under the 6 s deadline.
func (ge *Generator) addPipelines() {
	for i := range pipelines {
		engine := i % 6
		draft := fmt.Sprintf("draft-%d", 1+2*engine+i/6%2)
		encode := citronstream.Stage{Name: "encode", Service: fmt.Sprintf("encoder-%d", 1+i%3), Call: "encode", Model: fmt.Sprintf("embed-%d", 1+i%3)}
		retrieve := citronstream.Stage{Name: "retrieve", Service: fmt.Sprintf("retriever-%d", 1+i%2), Call: "retrieve"}
		rerank := citronstream.Stage{Name: "rerank", Service: fmt.Sprintf("reranker-%d", 1+i%4), Call: "rerank", Model: fmt.Sprintf("order-%d", 1+i%4)}
		generate := citronstream.Stage{Name: "generate", Service: fmt.Sprintf("engine-%d", 1+engine), Call: "generate", Model: draft}
		verify, refine := rerank, generate
		verify.Name, refine.Name = "verify", "refine"
		shapes := [][]citronstream.Stage{
			{encode, retrieve, generate},
			{encode, retrieve, rerank, generate},
			{encode, retrieve, rerank, generate, refine},
			{encode, retrieve, rerank, generate, verify, refine},
		}
		if i%len(shapes) == 3 {
			shapes[3][5].After = []string{"generate", "verify"}
		}
		ge.fl.Pipelines = append(ge.fl.Pipelines, citronstream.Pipeline{
			Name: fmt.Sprintf("pipeline-%02d", i+1), Rank: "standard", Stages: shapes[i%len(shapes)],
		})
	}
}
