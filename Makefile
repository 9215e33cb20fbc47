# CI calls .ci/run, which uses these targets.
SHELL := /bin/bash
GO ?= go
TOOL := cd tools && $(GO) tool
TIME ?= 1m

.PHONY: all build format lint test fuzz bench demo load mutate clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# format rewrites files; lint reports problems and changes nothing.
format:
	$(TOOL) gofumpt -w ..

lint:
	@out=$$($(TOOL) gofumpt -l ..); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	cd tools && $(GO) build -o ../bin/revive github.com/mgechev/revive && cd .. && bin/revive -set_exit_status ./...

test: build
	./.ci/test

# fuzz runs the property-based tests of all packages with random seeds for TIME and
# prints the seed of a failure.
fuzz:
	./.ci/fuzz $(TIME)

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# load runs a case of examples/load against running VMs, such as those of a demo in
# another shell: make load CASE=siam-steady SCALE=0.5 PLOT=out.svg
CASE ?= siam-steady
SCALE ?= 1
PLOT ?= out/$(CASE).svg
load: build
	mkdir -p $(dir $(PLOT))
	bin/standin load examples/load/$(CASE).yaml --scale $(SCALE) --plot $(PLOT) --json $(basename $(PLOT)).json

# mutate applies the mutations of docs/mutations.txt, or those named in ONLY, one at
# a time to a copy of the tree, and prints whether the tests detect them.
mutate:
	./.ci/mutate $(ONLY)

# demo runs the whole system for two minutes and prints a report.
demo: build
	./demo/run

clean:
	rm -rf bin out
