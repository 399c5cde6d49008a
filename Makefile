# Developer entry points. README.md names the first two.
GO ?= go
EXAMPLE ?= demo

.PHONY: demo run test lint build generate bench gap measure measure-control measure-spread matrix matrix-all fuzz gopls

build:
	$(GO) build -o bin/ ./cmd/...

# Property tests draw the same cases on every run, so that a verdict can be had
# again; RAPID_SEED=0 draws fresh ones.
export RAPID_SEED ?= 1

# SKIP_TESTS is an expression for the names of tests that are passed over.
test:
	$(GO) test -count=1 $(if $(SKIP_TESTS),-skip '$(SKIP_TESTS)') ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

demo: build
	examples/run.sh demo play
	examples/lines.sh

run: build
	examples/run.sh $(EXAMPLE) stay

# The language server's renames follow every use of a name. It is a tool of
# the work on the code alone and so no dependency in go.mod.
GOPLS_VERSION = v0.21.1
gopls:
	GOBIN=$(CURDIR)/bin $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

generate:
	$(GO) build -o bin/ github.com/twitchtv/twirp/protoc-gen-twirp google.golang.org/protobuf/cmd/protoc-gen-go
	for d in peer/peerpb gossip/gossippb relay/relaypb; do \
	  (cd $$d && protoc -I. -I../../gossip/gossippb --plugin=../../bin/protoc-gen-go --plugin=../../bin/protoc-gen-twirp \
	    --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. *.proto) || exit 1; done

bench: build
	examples/run.sh demo bench

# Breaks the primary of the demo's group again and again under load.
gap: build
	examples/run.sh demo gap --faults freeze,cut,answers,cut-peers --rounds 10

# Comparisons in virtual time: fixed seeds, the same figures on every machine.
measure: build
	bin/endivemoor-measure reads
	bin/endivemoor-measure load
	bin/endivemoor-measure control
	bin/endivemoor-measure failover --table all --seeds 60

# The fault matrix: singles whole and pairs sampled; matrix-all runs every pair.
matrix:
	$(GO) test -count=1 -run 'Matrix' -v ./scenario

matrix-all:
	$(GO) test -count=1 -timeout 90m -run 'Matrix' -v ./scenario -matrix.all

FUZZTIME ?= 30s
fuzz:
	$(GO) test -run '^$$' -fuzz FuzzVerify -fuzztime $(FUZZTIME) ./session
	$(GO) test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./profile/inifile
	$(GO) test -run '^$$' -fuzz FuzzImport -fuzztime $(FUZZTIME) ./audit
	$(GO) test -run '^$$' -fuzz FuzzFirstBytes -fuzztime $(FUZZTIME) ./proxy
	$(GO) test -run '^$$' -fuzz FuzzConsumerMessages -fuzztime $(FUZZTIME) ./platform/line
	$(GO) test -run '^$$' -fuzz FuzzAnswers -fuzztime $(FUZZTIME) ./platform/line
	$(GO) test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./platform/boot
	$(GO) test -run '^$$' -fuzz FuzzTarget -fuzztime $(FUZZTIME) ./platform/published

measure-control: build
	examples/measure-control.sh

measure-spread: build
	for n in 3 9 27; do examples/fleet.sh spread $$n 3 || exit 1; done
