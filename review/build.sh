#!/usr/bin/env bash
# Compiles the stand-ins and the cases; needs a JDK and no network.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -d build common/*.java [0-9]*/*.java known/*/*.java
