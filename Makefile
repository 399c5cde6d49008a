# Developer entry points. README.md names the first two.
GO ?= go

.PHONY: demo run test lint build bench measure matrix matrix-all fuzz

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -count=1 $(GOTESTFLAGS) ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
