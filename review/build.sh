#!/bin/sh
# Builds the stand-ins of the cases. It needs no network after the build of deploy/service.toml.
set -e
cd "$(dirname "$0")/testdata"
GOPROXY=off GOFLAGS=-mod=mod go build -o ../../target/review/world ./world
