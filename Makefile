GO ?= go
BIN := bin

.PHONY: build lint test demo clean

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

clean:
	rm -rf $(BIN) out
