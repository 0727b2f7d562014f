#!/usr/bin/env bash
# Builds the scripts of the second review and their stand-ins, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for script in review/*/script.rs; do
    number=$(basename "$(dirname "$script")")
    rustc --edition 2024 -O -o "target/review-2/case$number" "$script"
done
