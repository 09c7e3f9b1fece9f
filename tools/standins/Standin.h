//===- tools/standins/Standin.h - what the stand-ins share -----------------===//
///
/// \file
/// A stand-in serves one HTTP port, prints it as a line of JSON, and takes its
/// faults by `POST /control`. It fakes an interface and nothing behind it.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Json.h"

#include <boost/asio.hpp>

namespace pistachioloom::standin {

/// Serves \p handler on \p port of the loopback address until SIGTERM.
/// \returns the exit code.
int serve(asio::io_context& io, std::uint16_t port, HttpHandler handler);

/// Answers \p exchange with \p value.
asio::awaitable<void> reply(HttpExchange& exchange, int status, const boost::json::value& value);

asio::awaitable<void> pause(milliseconds duration);

/// Numbers and flags that `POST /control` sets, by name.
class Controls {
public:
    explicit Controls(std::map<std::string, std::int64_t> values);
    std::int64_t operator[](const std::string& name) const;
    void set(const std::string& name, std::int64_t value);
    /// Takes the known names out of \p body.
    void update(const boost::json::object& body);

private:
    std::map<std::string, std::int64_t> values_;
};

} // namespace pistachioloom::standin
