#!/usr/bin/env bash
# Builds the programs of the scripts in review/11 to review/15; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/main.rs; do
    name=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O "$source" -o "target/review-3/$name"
done
