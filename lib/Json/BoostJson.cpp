//===- lib/Json/BoostJson.cpp - Boost.JSON compiled once -------------------===//
///
/// \file
/// The distribution ships Boost.JSON's headers without its library; only this file
/// compiles its sources.
//===----------------------------------------------------------------------===//
#include <boost/json/src.hpp>
