#!/usr/bin/env bash
# Builds the stand-ins of the cases 12 to 14, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/stand-ins-3/main.rs
