#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/trial-3 ./review/third/platform/trial
