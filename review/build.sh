#!/usr/bin/env bash
# Builds the program that plays the cases: the stand-ins, the clients and the checks.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-trial ./review/platform/trial
