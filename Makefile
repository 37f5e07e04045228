GO ?= go
BIN := bin

.PHONY: build lint test clean

build:
	mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

lint:
	@unformatted="$$(gofmt -l .)"; test -z "$$unformatted" || { echo "not formatted: $$unformatted"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: lint build
	./.ci/tests

clean:
	rm -rf $(BIN) out
