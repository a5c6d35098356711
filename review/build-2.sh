#!/bin/bash
# Compiles the stand-ins of the cases 7 to 10 into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review
javac -Xlint:all -d ../target/review-2 \
  BigConfigurations.java Caller.java Case.java CommonPart.java Engine.java Failure.java HttpMessage.java \
  Journal.java Nodes.java SeedsWithoutDisk.java SoundReplica.java TenantNames.java
