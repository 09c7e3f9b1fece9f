//===- lib/Platform/VmListService.cpp - VM list and notices over HTTP -----===//
///
/// \file
/// Implements the VmListService hooks.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Platform.h"

#include "pistachioloom/Json.h"
#include <boost/asio.hpp>

namespace pistachioloom {

namespace {

    // Time limit of reading the VM list. Reading notices may take this much longer than the
    // requested wait.
    constexpr milliseconds listTimeout { 2000 };
    constexpr int notModified = 304;

    HttpRequest get(std::string target, const std::string& dataCentre)
    {
        return { "GET", std::move(target), { { "x-data-centre", dataCentre } }, {} };
    }

    asio::awaitable<Result<std::optional<std::string>>> list(Endpoint endpoint, std::string dataCentre, std::uint64_t knownVersion)
    {
        HttpRequest request = get("/vms?known_version=" + std::to_string(knownVersion), dataCentre);
        auto response = co_await callHttp(endpoint, std::move(request), listTimeout);
        if (!response)
            co_return response.error();
        if (response.value().status_ == notModified)
            co_return std::optional<std::string>();
        if (response.value().status_ != 200)
            co_return errorFromResponse(response.value(), "read VM list", endpoint.toString());
        co_return std::optional(std::move(response.value().body_));
    }

    asio::awaitable<Result<NoticeRead>> notices(Endpoint endpoint, std::string dataCentre, std::uint64_t since, milliseconds wait)
    {
        std::string target = "/notices?since=" + std::to_string(since) + "&wait_ms=" + std::to_string(wait.count());
        HttpRequest request = get(target, dataCentre);
        auto response = co_await callHttp(endpoint, std::move(request), wait + listTimeout);
        if (!response)
            co_return response.error();
        auto object = parseJsonObject(response.value().body_);
        if (response.value().status_ != 200 || !object)
            co_return errorFromResponse(response.value(), "read notices", endpoint.toString());
        NoticeRead result { numberField(*object, "next"), {} };
        for (const boost::json::object& item : objectsField(*object, "notices"))
            result.notices_.push_back({ textField(item, "vm"), milliseconds(numberField(item, "remaining_ms")) });
        co_return result;
    }

} // namespace

VmListService makeHttpVmListService(const Endpoint& endpoint, const std::string& dataCentre)
{
    VmListService service;
    service.list_ = [=](std::uint64_t knownVersion) { return list(endpoint, dataCentre, knownVersion); };
    service.notices_ = [=](std::uint64_t since, milliseconds wait) { return notices(endpoint, dataCentre, since, wait); };
    return service;
}

} // namespace pistachioloom
