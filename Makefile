# Path of the linter, which Go builds at the version that tools/go.mod pins ("go tool -n" prints the path). The linter needs
# Go 1.26, the product Go 1.24.
LINT = $$(go -C tools tool -n golangci-lint)

.PHONY: check build build-grpc test fmt lint run proto

# All checks of CI: build, vet, lint (with formatting), and the tests except those listed in KNOWN-RED.txt. Vet and lint run
# with each build tag, the tests of two packages also with gRPC support.
check:
	go build ./...
	go vet ./...
	go vet -tags grpc ./...
	$(MAKE) --no-print-directory lint
	skip=$$(.ci/known-red) && go test -count=1 $$skip ./... && go test -tags grpc -count=1 $$skip ./cmd/cherrygap ./internal/node

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# Builds the commands with gRPC support (docs/grpc.md).
build-grpc:
	mkdir -p bin && CGO_ENABLED=1 go build -tags grpc -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 -race ./...

# Formats all Go code with gofmt and gofumpt.
fmt:
	$(LINT) fmt

# Checks formatting and runs all linters of .golangci.yml, including go vet, with each build tag.
lint:
	$(LINT) run ./...
	$(LINT) run --build-tags grpc ./...

run: build
	exec bin/cherrygap

# Regenerates internal/grpcfrontend/*.pb.go. This needs protoc, protoc-gen-go v1.36.4 and protoc-gen-go-grpc v1.5.1 on PATH.
proto:
	protoc --go_out=. --go_opt=module=cherrygap --go-grpc_out=. --go-grpc_opt=module=cherrygap internal/grpcfrontend/gate.proto
