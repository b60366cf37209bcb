#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-2/rig .
