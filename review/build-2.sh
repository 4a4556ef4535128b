#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: one program, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2.rs
