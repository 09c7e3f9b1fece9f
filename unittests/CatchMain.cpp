//===- unittests/CatchMain.cpp - Catch2's main, compiled once -------------===//
///
/// \file
/// Defines the entry point of every unit test program.
//===----------------------------------------------------------------------===//
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
