LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
SEED ?= 1
LAYOUT ?= rayuela

.PHONY: all build test bench bench-path lint fmt docs ci trial faults clean

all: build

build:
	go build -o bin/ ./cmd/...

test:
	sh scripts/test.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Latency that daemons add to a request; docs/MEASUREMENTS.md.
bench-path: build
	bash scripts/bench-path.sh

lint:
	$(LINT) run ./...
	$(LINT) fmt --diff ./...
	sh scripts/check-pure.sh

fmt:
	$(LINT) fmt ./...

docs:
	go run ./cmd/gen-docs

ci: lint test

# A trial of the whole system on loopback addresses; docs/TRIAL.md. Its
# settings are variables: make trial SEED=7 LAYOUT=kalderimi
trial: build
	SEED=$(SEED) LAYOUT=$(LAYOUT) bash scripts/trial.sh

# A trial with frozen daemons, a slow store and a full restart.
faults: build
	SEED=$(SEED) LAYOUT=$(LAYOUT) bash scripts/faults.sh

clean:
	rm -rf bin trial trial-faults
