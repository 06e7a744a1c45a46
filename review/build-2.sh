#!/bin/sh
# Builds the cases of the second review, with all stand-ins that they start, into review/build-2.
set -e
cd "$(dirname "$0")"
rm -rf build-2
mkdir build-2
printf '*\n' > build-2/.gitignore
javac -Xlint:all -d build-2 kit-2/*.java [0-9]*/src/*.java
