//===- tools/standins/Standin.h - common code of the stand-ins ------------===//
///
/// \file
/// A stand-in simulates an external service of the system for tests. It serves one HTTP
/// port, prints the port as a line of JSON, and lets tests set faults through
/// `POST /control`.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Http.h"
#include "pistachioloom/Json.h"

#include <boost/asio.hpp>

namespace pistachioloom::standin {

/// Serves \p handler on \p port of the loopback address until SIGTERM or SIGINT.
/// \returns the exit code.
int serve(asio::io_context& io, std::uint16_t port, HttpHandler handler);

/// Responds to \p exchange with \p status and \p value as JSON.
asio::awaitable<void> reply(HttpExchange& exchange, int status, const boost::json::value& value);

/// Suspends the coroutine for \p duration.
asio::awaitable<void> pause(milliseconds duration);

/// Named numbers and flags that `POST /control` sets. A flag is a number other than 0.
class Controls {
public:
    explicit Controls(std::map<std::string, std::int64_t> values);
    std::int64_t operator[](const std::string& name) const;
    void set(const std::string& name, std::int64_t value);
    /// Sets the controls that \p body names, and ignores its other keys.
    void update(const boost::json::object& body);

private:
    std::map<std::string, std::int64_t> values_;
};

} // namespace pistachioloom::standin
