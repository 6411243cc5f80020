# The linter, built at the version that tools/go.mod pins ("go tool -n" prints its path). It needs Go 1.26, the product 1.24.
LINT = $$(go -C tools tool -n golangci-lint)

.PHONY: check build build-grpc test fmt lint run proto

# Everything that CI checks: build, vet and lint with each build tag (formatting among the linters), and the tests but for
# those that KNOWN-RED.txt lists.
check:
	go build ./...
	go vet ./...
	go vet -tags grpc ./...
	$(MAKE) --no-print-directory lint
	skip=$$(.ci/known-red) && go test -count=1 $$skip ./... && go test -tags grpc -count=1 $$skip ./cmd/cherrygap ./internal/node

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# The same with gRPC (docs/grpc.md).
build-grpc:
	mkdir -p bin && CGO_ENABLED=1 go build -tags grpc -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 -race ./...

# Formats all code (gofmt, gofumpt).
fmt:
	$(LINT) fmt

# Formatting and all linters of .golangci.yml (go vet among them), with each build tag.
lint:
	$(LINT) run ./...
	$(LINT) run --build-tags grpc ./...

run: build
	exec bin/cherrygap

# Writes internal/grpcfrontend/*.pb.go anew; wants protoc, protoc-gen-go v1.36.4 and protoc-gen-go-grpc v1.5.1 on the path.
proto:
	protoc --go_out=. --go_opt=module=cherrygap --go-grpc_out=. --go-grpc_opt=module=cherrygap internal/grpcfrontend/gate.proto
