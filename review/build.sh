#!/bin/sh
# Builds the stand-ins of the review's scripts. Run it in the repository, after the build of the
# deploy file.
set -e
go build -tags review -o target/review ./review/platform
