# Developer entry points. README.md names the first two.
GO ?= go
EXAMPLE ?= demo

.PHONY: measure-control measure-spread demo run test lint build bench measure matrix matrix-all fuzz

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -count=1 $(GOTESTFLAGS) ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

demo: build
	examples/run.sh demo play

run: build
	examples/run.sh $(EXAMPLE) stay

generate:
	$(GO) build -o bin/ github.com/twitchtv/twirp/protoc-gen-twirp google.golang.org/protobuf/cmd/protoc-gen-go
	cd peer/peerpb && protoc -I. --plugin=../../bin/protoc-gen-go --plugin=../../bin/protoc-gen-twirp \
	  --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. peer.proto

bench: build
	examples/run.sh demo bench

measure-control: build
	examples/measure-control.sh

measure-spread: build
	for n in 3 9 27; do examples/fleet.sh spread $$n 3 || exit 1; done
