#!/usr/bin/env bash
# Generates the message types and gRPC stubs of the peer protocol. Needs protoc on the PATH; the result is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p src/peers/generated
protoc --plugin=node_modules/.bin/protoc-gen-ts_proto \
  --ts_proto_out=src/peers/generated \
  --ts_proto_opt=outputServices=grpc-js,esModuleInterop=true,importSuffix=.js,forceLong=number,useOptionals=none,env=node \
  -I src/peers src/peers/peer.proto
