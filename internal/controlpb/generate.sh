#!/usr/bin/env bash
# Regenerates the gRPC messages. Needs protoc; the plugins come from go.mod.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc -I proto \
  --go_out=. --go_opt=module=rosemaryladder.dev/rosemaryladder \
  --go-grpc_out=. --go-grpc_opt=module=rosemaryladder.dev/rosemaryladder \
  proto/*.proto
