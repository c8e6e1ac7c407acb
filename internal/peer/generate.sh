#!/usr/bin/env bash
# Generates the Go code of the protocols between entry instances. The result
# is committed, so that a build needs neither protoc nor its plugins.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -modfile=tools/go.mod -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
for proto in internal/peer/*/*.proto internal/journal/*/*.proto; do
	PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative "$proto"
done
