#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/. They need the C++ standard library and POSIX only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p built
for case in length foreign duties; do
  g++ -std=c++20 -O1 -pthread -Wall "standin/$case.cc" -o "built/$case"
done
