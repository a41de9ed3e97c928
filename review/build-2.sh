#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/trial-2 ./review/second/platform/trial
