# Compile options that all targets share, and functions that add targets.
add_library(PistachioloomOptions INTERFACE)
target_include_directories(PistachioloomOptions INTERFACE ${CMAKE_SOURCE_DIR}/include)
target_compile_options(PistachioloomOptions INTERFACE -Wall -Wextra -Wpedantic -Werror)
# GCC 12 reports false positives of these warnings inside Boost's coroutine and JSON templates.
target_compile_options(PistachioloomOptions INTERFACE -Wno-maybe-uninitialized -Wno-mismatched-new-delete -Wno-array-bounds -Wno-stringop-overread -Wno-uninitialized)
target_compile_definitions(PistachioloomOptions INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_HAS_CO_AWAIT BOOST_ASIO_DISABLE_BOOST_COROUTINE=1)
# Beast 1.81 asserts that at least two bytes follow the line of the last chunk in the same read
# (basic_parser::parse_chunk_header), so that any peer could abort the process. Without Boost's
# assertions the parser waits for them. Assertions of this project stay enabled.
target_compile_definitions(PistachioloomOptions INTERFACE BOOST_DISABLE_ASSERTS)
if(PISTACHIOLOOM_TSAN)
  target_compile_options(PistachioloomOptions INTERFACE -fsanitize=thread -Wno-tsan)
  target_compile_definitions(PistachioloomOptions INTERFACE PISTACHIOLOOM_TSAN)
  target_link_options(PistachioloomOptions INTERFACE -fsanitize=thread)
endif()
if(PISTACHIOLOOM_ASAN)
  target_compile_options(PistachioloomOptions INTERFACE -fsanitize=address -O1 -fno-omit-frame-pointer)
  target_link_options(PistachioloomOptions INTERFACE -fsanitize=address)
endif()

# pistachioloom_library(Name SOURCES ... LINKS ... [HEAVY])
# HEAVY libraries use Asio and Beast and share one precompiled header.
function(pistachioloom_library name)
  cmake_parse_arguments(ARG "HEAVY" "" "SOURCES;LINKS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC PistachioloomOptions ${ARG_LINKS})
  if(ARG_HEAVY)
    pistachioloom_heavy(${name})
  endif()
endfunction()

function(pistachioloom_heavy target)
  if(NOT TARGET PistachioloomHeavy)
    file(WRITE ${CMAKE_BINARY_DIR}/heavy.cpp "")
    add_library(PistachioloomHeavy OBJECT ${CMAKE_BINARY_DIR}/heavy.cpp)
    target_link_libraries(PistachioloomHeavy PUBLIC PistachioloomOptions Threads::Threads)
    target_precompile_headers(PistachioloomHeavy PRIVATE
      <boost/asio.hpp> <boost/asio/experimental/concurrent_channel.hpp> <boost/beast.hpp> <boost/json.hpp>
      <string> <vector> <map> <unordered_map> <memory> <functional> <chrono>)
  endif()
  target_precompile_headers(${target} REUSE_FROM PistachioloomHeavy)
  target_link_libraries(${target} PUBLIC Threads::Threads)
endfunction()
