MODULES := wharf wagtailwharfd wagtailwharf wharf-standin wharf-load
PACKAGES := $(MODULES:%=./%/...)
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
REVIVE := github.com/mgechev/revive@v1.17.0
SEED := 20261204

.PHONY: build demo run test race lint model measure fuzz spin

build:
	go build -o bin/ ./wagtailwharfd ./wagtailwharf ./wharf-standin ./wharf-load

demo: build
	bin/wharf-load demo

run: build
	bin/wharf-load run

test: build
	go test -count=1 $(PACKAGES) -rapid.seed=$(SEED)

race:
	go test -count=1 -race ./wharf/... ./wagtailwharfd/... -rapid.seed=$(SEED)

lint:
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); exit 1; }
	go vet $(PACKAGES)
	go run $(STATICCHECK) $(PACKAGES)
	go run $(REVIVE) -config revive.toml -set_exit_status $(PACKAGES)

model: spin
	spec/check.sh

spin:
	@command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin; }

measure: build
	bin/wharf-load measure
