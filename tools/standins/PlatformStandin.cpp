//===- tools/standins/PlatformStandin.cpp - log, VM list and notices ------===//
///
/// \file
/// Simulates the platform's log service, VM list and reclaim notices. Faults: outages of
/// the log or the list, a slow log, lost answers, trimmed streams, a delayed list, and
/// data centres that are cut off. Callers name their data centre in `x-data-centre`.
//===----------------------------------------------------------------------===//
#include "Standin.h"

#include <CLI/CLI.hpp>
#include <set>

using namespace pistachioloom;
using namespace pistachioloom::standin;
namespace json = boost::json;

namespace {

constexpr milliseconds pollPeriod { 10 };
constexpr std::size_t maxRecordsPerAnswer = 1000;
constexpr int statusUnavailable = 503;

/// One stream of the log, of which the oldest records may have been trimmed.
struct Stream {
    /// Offset of the oldest record that is still stored.
    std::uint64_t firstOffset_ = 0;
    std::vector<std::string> records_;

    std::uint64_t nextOffset() const { return firstOffset_ + records_.size(); }
};

/// The log service, VM list and reclaim notices of the platform.
class Platform {
public:
    asio::awaitable<void> handle(HttpExchange& exchange);

private:
    asio::awaitable<void> append(HttpExchange& exchange, std::string stream);
    asio::awaitable<void> read(HttpExchange& exchange, std::string stream);
    asio::awaitable<void> list(HttpExchange& exchange);
    asio::awaitable<void> notices(HttpExchange& exchange);
    asio::awaitable<void> control(HttpExchange& exchange);
    json::object viewOf(const json::object& vm, const std::string& dataCentre) const;

    Controls controls_ { {
        { "log_down", 0 },
        { "list_down", 0 },
        { "log_delay_ms", 0 },
        // How many of the next appends take effect but are not answered.
        { "lose_append_answers", 0 },
        // How many of the next appends fail without taking effect.
        { "fail_appends", 0 },
        // Delay of a change of the VM list.
        { "list_lag_ms", 0 },
    } };
    std::map<std::string, Stream> streams_;
    std::map<std::string, json::object> vms_;
    std::uint64_t vmListVersion_ = 1;
    std::vector<json::object> notices_;
    std::set<std::string> partitionedDataCentres_;
    // Ports that replace a VM's peer port in the list for one data centre, so that its nodes
    // connect through a proxy. Keyed by "data centre/VM".
    std::map<std::string, std::uint64_t> peerPorts_;
    std::uint64_t appendCalls_ = 0;
    std::uint64_t readCalls_ = 0;
    std::uint64_t listCalls_ = 0;
};

json::object Platform::viewOf(const json::object& vm, const std::string& dataCentre) const
{
    json::object seen = vm;
    auto found = peerPorts_.find(dataCentre + "/" + textField(vm, "id"));
    if (found != peerPorts_.end())
        seen["port"] = found->second;
    return seen;
}

asio::awaitable<void> Platform::append(HttpExchange& exchange, std::string name)
{
    ++appendCalls_;
    co_await pause(milliseconds(controls_["log_delay_ms"]));
    if (controls_["fail_appends"] > 0) {
        controls_.set("fail_appends", controls_["fail_appends"] - 1);
        Error error { Errc::Unavailable, "append", "log", "not taken", Ran::No, {} };
        (void)co_await exchange.respond(errorResponse(error));
        co_return;
    }
    Stream& stream = streams_[name];
    std::uint64_t offset = stream.nextOffset();
    stream.records_.push_back(exchange.request().body_);
    if (controls_["lose_append_answers"] > 0) {
        controls_.set("lose_append_answers", controls_["lose_append_answers"] - 1);
        exchange.abort();
        co_return;
    }
    json::object answer;
    answer["offset"] = offset;
    co_await reply(exchange, 200, answer);
}

asio::awaitable<void> Platform::read(HttpExchange& exchange, std::string name)
{
    ++readCalls_;
    std::uint64_t from = std::strtoull(exchange.request().query("from").c_str(), nullptr, 10);
    milliseconds wait(std::strtoll(exchange.request().query("wait_ms").c_str(), nullptr, 10));
    auto deadline = steadyNow() + wait;
    while (streams_[name].nextOffset() <= from && steadyNow() < deadline && !controls_["log_down"])
        co_await pause(pollPeriod);
    const Stream& stream = streams_[name];
    json::array records;
    for (std::uint64_t offset = std::max(from, stream.firstOffset_); offset < stream.nextOffset() && records.size() < maxRecordsPerAnswer; ++offset) {
        json::object record;
        record["offset"] = offset;
        record["data"] = stream.records_[offset - stream.firstOffset_];
        records.push_back(record);
    }
    json::object answer;
    answer["first"] = stream.firstOffset_;
    answer["next"] = stream.nextOffset();
    answer["records"] = records;
    co_await reply(exchange, 200, answer);
}

asio::awaitable<void> Platform::list(HttpExchange& exchange)
{
    ++listCalls_;
    std::uint64_t known = std::strtoull(exchange.request().query("known_version").c_str(), nullptr, 10);
    if (known == vmListVersion_) {
        HttpResponse unchanged { 304, {}, {} };
        (void)co_await exchange.respond(std::move(unchanged));
        co_return;
    }
    json::array vms;
    for (const auto& [id, vm] : vms_)
        vms.push_back(viewOf(vm, exchange.request().header("x-data-centre")));
    json::object answer;
    answer["version"] = vmListVersion_;
    answer["vms"] = vms;
    co_await reply(exchange, 200, answer);
}

asio::awaitable<void> Platform::notices(HttpExchange& exchange)
{
    std::size_t since = std::strtoull(exchange.request().query("since").c_str(), nullptr, 10);
    milliseconds wait(std::strtoll(exchange.request().query("wait_ms").c_str(), nullptr, 10));
    auto deadline = steadyNow() + wait;
    while (notices_.size() <= since && steadyNow() < deadline)
        co_await pause(pollPeriod);
    json::array newNotices;
    for (std::size_t i = since; i < notices_.size(); ++i)
        newNotices.push_back(notices_[i]);
    json::object answer;
    answer["next"] = notices_.size();
    answer["notices"] = newNotices;
    co_await reply(exchange, 200, answer);
}

asio::awaitable<void> Platform::control(HttpExchange& exchange)
{
    auto body = parseJsonObject(exchange.request().body_).value_or(json::object {});
    controls_.update(body);
    bool changesList = body.contains("put_vms") || body.contains("remove_vms") || body.contains("port_views");
    // The version must change together with the list, so no suspension point may lie
    // between the two.
    if (changesList) {
        co_await pause(milliseconds(controls_["list_lag_ms"]));
        ++vmListVersion_;
    }
    for (const json::object& vm : objectsField(body, "put_vms"))
        vms_[textField(vm, "id")] = vm;
    if (const json::array* removed = arrayField(body, "remove_vms")) {
        for (const json::value& id : *removed)
            vms_.erase(std::string(id.as_string()));
    }
    for (const json::object& view : objectsField(body, "port_views"))
        peerPorts_[textField(view, "from") + "/" + textField(view, "vm")] = numberField(view, "port");
    for (const json::object& notice : objectsField(body, "notices"))
        notices_.push_back(notice);
    if (const json::array* cut = arrayField(body, "cut_data_centres")) {
        partitionedDataCentres_.clear();
        for (const json::value& name : *cut)
            partitionedDataCentres_.insert(std::string(name.as_string()));
    }
    std::string trimmed = textField(body, "trim_stream");
    if (!trimmed.empty()) {
        Stream& stream = streams_[trimmed];
        std::uint64_t to = std::min(numberField(body, "trim_to"), stream.nextOffset());
        std::uint64_t count = to > stream.firstOffset_ ? to - stream.firstOffset_ : 0;
        stream.records_.erase(stream.records_.begin(), stream.records_.begin() + static_cast<std::ptrdiff_t>(count));
        stream.firstOffset_ += count;
    }
    json::object answer;
    answer["version"] = vmListVersion_;
    answer["appends"] = appendCalls_;
    answer["reads"] = readCalls_;
    answer["lists"] = listCalls_;
    json::object nextOffsets;
    for (const auto& [name, stream] : streams_)
        nextOffsets[name] = stream.nextOffset();
    answer["next"] = nextOffsets;
    co_await reply(exchange, 200, answer);
}

asio::awaitable<void> Platform::handle(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    std::string path = request.path();
    if (path == "/control") {
        co_await control(exchange);
        co_return;
    }
    if (partitionedDataCentres_.contains(request.header("x-data-centre"))) {
        exchange.abort();
        co_return;
    }
    constexpr std::string_view prefix = "/streams/";
    constexpr std::string_view suffix = "/records";
    bool isLog = path.starts_with(prefix) && path.ends_with(suffix);
    if (controls_[isLog ? "log_down" : "list_down"]) {
        co_await reply(exchange, statusUnavailable, json::object {});
        co_return;
    }
    if (path == "/notices") {
        co_await notices(exchange);
        co_return;
    }
    if (!isLog) {
        co_await list(exchange);
        co_return;
    }
    std::string stream = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    if (request.method_ == "POST")
        co_await append(exchange, stream);
    else
        co_await read(exchange, stream);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Stand-in for the platform's log, VM list and notices." };
    std::uint16_t port = 0;
    app.add_option("--port", port, "Port to listen on; 0 lets the kernel choose");
    CLI11_PARSE(app, argc, argv);
    asio::io_context io;
    Platform platform;
    return serve(io, port, [&](HttpExchange& exchange) { return platform.handle(exchange); });
}
