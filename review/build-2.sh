#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$folder/main.go" ] || continue
  go build -tags review2 -o "target/review-2/$(basename "$folder")" "./$folder"
done
