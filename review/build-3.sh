#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/third/*.java
