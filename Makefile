GO ?= go
BIN := bin

.PHONY: build lint test demo soak capacity clean

build:
	mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

lint:
	@unformatted="$$(gofmt -l .)"; test -z "$$unformatted" || { echo "not formatted: $$unformatted"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: lint build
	./.ci/tests

demo: build
	$(GO) run ./internal/demo
	$(GO) run ./internal/soak --seed=7 --duration=10s

# Random faults against gateways as processes: fresh seeds, or one with SEED=n.
soak: build
	$(GO) run ./internal/soak $(if $(SEED),--seed=$(SEED),--runs=8)

# Figures of docs/CAPACITY.md. Few processors leave the rest of the machine to
# others; figures are processor time, which does not depend on their number.
capacity: build
	$(GO) build -o $(BIN)/measure/ ./internal/capacity ./internal/measure
	GOMAXPROCS=3 $(BIN)/measure/capacity
	GOMAXPROCS=3 $(BIN)/measure/measure --out=out/capacity-cost cost --duration=6s

clean:
	rm -rf $(BIN) out
