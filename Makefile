PROGRAMS := parsleyramp-control parsleyramp-entry parsleyramp-gateway parsleyramp-fleet parsleyctl parsleyramp-standin parsleyload
export CGO_ENABLED := 1

.PHONY: faults demo test build generate lint clean

# Builds the programs and runs the main use case on loopback.
demo: build
	go run ./scripts/demo -bin bin

# Injects failures into a system of the real programs and prints violated guarantees.
faults: build
	go run ./scripts/faults -bin bin

# Runs all tests. The seeds of rapid are fixed, so that results are reproducible. Those of scripts/abusive
# measure memory and descriptors of processes, and run after the others, apart from their load.
test:
	@status=0; \
	go test $$(go list ./... | grep -v /scripts/abusive) -timeout 20m || status=1; \
	go test ./scripts/abusive -count=1 -timeout 40m || status=1; \
	exit $$status

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./cmd/$$p || exit 1; done

# Regenerates code. It is needed only after a change of the .proto files.
generate:
	GOBIN=$(CURDIR)/bin/tools go install github.com/bufbuild/buf/cmd/buf@v1.75.0
	GOBIN=$(CURDIR)/bin/tools go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(CURDIR)/bin/tools go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
	PATH=$(CURDIR)/bin/tools:$$PATH buf generate

lint:
	@test -z "$$(gofmt -l cmd docs internal platform scripts)" || { gofmt -l cmd docs internal platform scripts; exit 1; }
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...

clean:
	rm -rf bin
