GOBIN := $(shell go env GOPATH)/bin
LINT := $(GOBIN)/golangci-lint
LINT_VERSION := v2.15.0
GOPLS := $(GOBIN)/gopls
GOPLS_VERSION := v0.23.0

# Packages with property tests; others do not know the flag.
PROPERTIES := $(addprefix ./,$(sort $(dir $(shell git grep -l pgregory.net/rapid -- 'core/*_test.go'))))
CHECKS := 5000

.PHONY: check format vet lint test bench soak faults platform tools

check: format vet lint test

format:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi

vet:
	go vet ./...

lint: $(LINT)
	go tool staticcheck ./...
	$(LINT) run ./...

test:
	go run ./cmd/checktest -race -timeout 20m ./...

bench:
	go test -run '^$$' -bench . -benchmem -timeout 60m ./...
	go build -o bench/ ./cmd/geraniumsaddle ./cmd/loadtest
	bench/loadtest --binary bench/geraniumsaddle

soak:
	go test -count 1 -timeout 60m $(PROPERTIES) -rapid.checks=$(CHECKS)

# Runs real routers under faults, also with returns of the store from older copies, under planned work alone, and under faults
# at starts and stops; SEED is the first of SEEDS.
SEED := 1
SEEDS := 10

faults:
	go build -o bench/ ./cmd/geraniumsaddle ./cmd/soak
	bench/soak -binary bench/geraniumsaddle -seed $(SEED) -seeds $(SEEDS)
	bench/soak -binary bench/geraniumsaddle -seed $(SEED) -seeds $(SEEDS) -rewinds
	bench/soak -binary bench/geraniumsaddle -seed $(SEED) -seeds $(SEEDS) -rewinds -claims
	bench/soak -binary bench/geraniumsaddle -seed $(SEED) -seeds $(SEEDS) -planned -callers 24
	bench/soak -binary bench/geraniumsaddle -seed $(SEED) -seeds $(SEEDS) -starts -routers 4

# Plays the standard days of both sites where the users' bench is present.
BENCH := ../given/kit/more/system
WHY := make platform

platform:
	@if [ ! -x $(BENCH)/bin/fleetbench ]; then echo "the users' bench is not here"; exit 1; fi
	$(BENCH)/bin/fleetbench score $(BENCH)/sites/kolenhuis-orders.toml --why "$(WHY)"
	$(BENCH)/bin/fleetbench score $(BENCH)/sites/mela-yard.toml --why "$(WHY)"

tools: $(LINT) $(GOPLS)

$(LINT):
	GOBIN=$(GOBIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

$(GOPLS):
	GOBIN=$(GOBIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
