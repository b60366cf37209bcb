#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of this folder start, into target/review. It
# needs the Go tool and no module but this folder's own.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review/rig .
