#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
