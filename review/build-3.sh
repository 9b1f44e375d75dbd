#!/bin/sh
# Builds the program of the scripted cases of the third review, with all of its stand-ins.
# Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3 ./review/third/cmd/review3
