# What one can do here. CONTRIBUTING.md says more.

GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
BIN = bin/citronstream
SETTINGS ?= examples/magnolia.json
SEED ?= 1
DURATION ?= 30s
BENCH ?= .
TESTFLAGS ?=
# Whole fleets under faults and clients that do not behave, tested alone: beside other tests they would lack processor time.
FLEETS = /internal/proof/promises /internal/proof/sitesoak /internal/proof/callers
SEEDS ?= 1

.PHONY: all build run demo test lint fmt bench soak soak-site clean

all: lint test build

build: ## build the binary into bin/
	$(GO) build -o $(BIN) ./cmd/citronstream

run: build ## start a whole local fleet on loopback
	$(BIN) local --settings $(SETTINGS)

demo: build ## put a load on a local fleet and print the outcome
	$(BIN) demo --settings $(SETTINGS) --seed $(SEED) --duration 10s

test: ## all tests but those of KNOWN-RED.txt; TESTFLAGS=-race for the race detector
	$(GO) test $(TESTFLAGS) -skip "$$(cat .ci/known-red)" $$($(GO) list ./... | grep -v $(FLEETS:%=-e %))
	$(GO) test $(TESTFLAGS) -p 1 -skip "$$(cat .ci/known-red)" $(FLEETS:%=.%)

lint: ## formatter, vet, linters
	@test -z "$$($(TOOL) gofumpt -l . | tee /dev/stderr)"
	$(GO) vet ./...
	$(TOOL) staticcheck ./...
	$(TOOL) forbidigo -set_exit_status '^(fmt\.Print.*)$$' '^time\.(Now|Sleep|After|Tick|NewTimer|NewTicker|AfterFunc|Since|Until)$$' -- ./...

fmt: ## format the sources
	$(TOOL) gofumpt -w .

bench: ## benchmarks with their bounds
	./bench.sh "$(BENCH)"

soak: build ## randomised run with faults: make soak SEED=n DURATION=30s
	$(BIN) soak --seed $(SEED) --duration $(DURATION)

soak-site: ## gateways as processes under faults: make soak-site SEED=n SEEDS=20 DURATION=30s
	$(GO) test -count=1 -timeout 2h -v ./internal/proof/sitesoak -soak.seed $(SEED) -soak.seeds $(SEEDS) -soak.duration $(DURATION)

clean:
	rm -rf bin
