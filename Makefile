MODULES := wharf wagtailwharfd wagtailwharf wharf-standin wharf-load

.PHONY: build demo run test

build:
	go build -o bin/ ./wagtailwharfd ./wagtailwharf ./wharf-standin ./wharf-load

demo: build
	bin/wharf-load demo

run: build
	bin/wharf-load run

test:
	go test $(MODULES:%=./%/...)
