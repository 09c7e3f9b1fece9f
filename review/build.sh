#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/. They need the C++ standard library and POSIX only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p built
g++ -std=c++20 -O1 -pthread -Wall standin/length.cpp -o built/length
