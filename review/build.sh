#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review with the toolchain alone, into the folder target/review.
# The gateway itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standin review/main.rs
