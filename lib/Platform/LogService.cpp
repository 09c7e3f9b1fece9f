//===- lib/Platform/LogService.cpp - the platform's log over HTTP ---------===//
///
/// \file
/// Implements the LogService hooks.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Platform.h"

#include "pistachioloom/Json.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // A read may take this much longer than the requested wait.
    constexpr milliseconds readMargin { 1000 };

    asio::awaitable<Result<LogOffset>> append(Endpoint endpoint, std::string dataCentre, std::string stream, std::string record, milliseconds timeout)
    {
        HttpRequest request { "POST", "/streams/" + stream + "/records", { { "x-data-centre", dataCentre } }, std::move(record) };
        auto response = co_await callHttp(endpoint, std::move(request), timeout);
        if (!response)
            co_return response.error();
        if (response.value().status_ != 200)
            co_return errorFromResponse(response.value(), "append to log", endpoint.toString());
        auto object = parseJsonObject(response.value().body_);
        if (!object || !object->contains("offset"))
            co_return Error { Errc::Protocol, "append to log", endpoint.toString(), "answer without offset", Ran::Unknown, {} };
        co_return LogOffset { numberField(*object, "offset") };
    }

    asio::awaitable<Result<LogRead>> read(Endpoint endpoint, std::string dataCentre, std::string stream, LogOffset from, milliseconds wait)
    {
        std::string target = "/streams/" + stream + "/records?from=" + std::to_string(from.value_) + "&wait_ms=" + std::to_string(wait.count());
        HttpRequest request { "GET", target, { { "x-data-centre", dataCentre } }, {} };
        auto response = co_await callHttp(endpoint, std::move(request), wait + readMargin);
        if (!response)
            co_return response.error();
        if (response.value().status_ != 200)
            co_return errorFromResponse(response.value(), "read log", endpoint.toString());
        auto object = parseJsonObject(response.value().body_);
        if (!object || !arrayField(*object, "records"))
            co_return Error { Errc::Protocol, "read log", endpoint.toString(), "answer without records", Ran::No, {} };
        LogRead result { { numberField(*object, "first") }, { numberField(*object, "next") }, {} };
        for (const boost::json::object& item : objectsField(*object, "records"))
            result.records_.emplace_back(LogOffset { numberField(item, "offset") }, textField(item, "data"));
        co_return result;
    }

} // namespace

LogService makeHttpLogService(const Endpoint& endpoint, const std::string& dataCentre)
{
    LogService service;
    service.append_ = [=](std::string stream, std::string record, milliseconds timeout) {
        return append(endpoint, dataCentre, std::move(stream), std::move(record), timeout);
    };
    service.read_ = [=](std::string stream, LogOffset from, milliseconds wait) { return read(endpoint, dataCentre, std::move(stream), from, wait); };
    return service;
}

} // namespace pistachioloom
