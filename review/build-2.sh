#!/bin/sh
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file. They need the C++
# standard library and POSIX only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -pthread -Wall "$source" -o "target/review-2/$name.new"
    mv "target/review-2/$name.new" "target/review-2/$name"
done
