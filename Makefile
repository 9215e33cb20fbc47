# Targets for people. CI calls .ci/run, which calls these.
SHELL := /bin/bash
GO ?= go
TOOL := cd tools && $(GO) tool
TIME ?= 1m

.PHONY: all build format lint test fuzz bench demo load mutate clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# format rewrites the files; lint only reports.
format:
	$(TOOL) gofumpt -w ..

lint:
	@out=$$($(TOOL) gofumpt -l ..); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	cd tools && $(GO) build -o ../bin/revive github.com/mgechev/revive && cd .. && bin/revive -set_exit_status ./...

test: build
	./.ci/test

# fuzz runs the stateful tests with fresh seeds for TIME in all packages that
# have them; a failure prints its seed.
fuzz:
	./.ci/fuzz $(TIME)

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

# load runs a case of examples/load against VMs that run already, for example
# those of another shell's demo: make load CASE=siam-steady SCALE=0.5 PLOT=out.svg
CASE ?= siam-steady
SCALE ?= 1
PLOT ?= out/$(CASE).svg
load: build
	mkdir -p $(dir $(PLOT))
	bin/standin load examples/load/$(CASE).yaml --scale $(SCALE) --plot $(PLOT) --json $(basename $(PLOT)).json

# mutate takes one guard out at a time on a copy, and shows which test notices.
mutate:
	./.ci/mutate $(ONLY)

# demo runs the whole system for two minutes and prints a report.
demo: build
	./demo/run

clean:
	rm -rf bin out
