#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start.
set -euo pipefail
# The folder has a dot, because the names of the wire must not stand in other folders of the
# project (platform/names_test.go), and it is a module of its own, so that CI passes it by.
cd "$(dirname "$0")/.standin"
mkdir -p ../../target
go build -buildvcs=false -o ../../target/review-harness .
