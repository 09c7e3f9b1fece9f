#!/bin/sh
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -pthread "$source" -o "target/review-2/$name"
done
