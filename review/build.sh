#!/bin/bash
# Compiles the stand-ins of the cases into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/*.java
