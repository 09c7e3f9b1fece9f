//===- lib/Telemetry/Metrics.cpp - counters and histograms -----------------===//
///
/// \file
/// Atomic counters, and Boost.Histogram with thread-safe cells, rendered in
/// Prometheus' text format.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Telemetry.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <sstream>

namespace pistachioloom {

namespace bh = boost::histogram;

namespace {

    constexpr std::size_t counterCount = static_cast<std::size_t>(Counter::Last);
    constexpr std::size_t histogramCount = static_cast<std::size_t>(Histogram::Last);

    constexpr std::array<std::string_view, counterCount> counterNames {
        "requests_accepted",
        "requests_refused",
        "requests_finished",
        "requests_failed",
        "tokens_delivered",
        "tokens_recomputed",
        "attempts",
        "retries",
        "takeovers",
        "handovers",
        "service_calls",
        "run_once_executed",
        "run_once_replayed",
        "run_once_refused",
        "log_appends",
        "log_reads",
        "catalogue_records",
        "gossip_messages",
        "peer_errors",
        "spans_dropped",
        "grant_messages",
        "engine_orders",
        "loan_messages",
        "trials_yielded",
        "registrations_refused",
        "requests_quarantined",
        "backend_crashes",
        "datagrams_too_large",
        "connections_relayed",
        "connections_carried",
        "streams_resumed",
        "resumptions_unknown",
        "streams_unserved",
        "origin_queries",
        "origin_queries_unanswered",
        "connections_unread",
        "requests_refused_until_engines",
        "answers_ended_early",
        "answers_to_others",
        "answers_unidentified",
        "origins_recorded",
        "origins_unrecorded",
        "origin_log_reads",
        "stream_stops_ordered",
        "streams_moved",
    };

    constexpr std::array<std::string_view, histogramCount> histogramNames {
        "first_token_seconds",
        "between_tokens_seconds",
        "whole_answer_seconds",
        "copy_acknowledged_seconds",
        "log_append_seconds",
        "loop_lag_seconds",
    };

    // From 50 microseconds to 100 seconds with ten cells per decade.
    constexpr unsigned cellCount = 63;
    constexpr double minSeconds = 50e-6;
    constexpr double maxSeconds = 100;

    auto makeCells()
    {
        return bh::make_histogram_with(bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>(),
            bh::axis::regular<double, bh::axis::transform::log>(cellCount, minSeconds, maxSeconds));
    }

    using Cells = decltype(makeCells());

    struct HistogramData {
        Cells cells_ = makeCells();
        std::atomic<std::uint64_t> sumNanoseconds_ { 0 };
    };

    void renderHistogram(std::ostringstream& output, std::string_view name, const HistogramData& data)
    {
        std::uint64_t cumulativeCount = 0;
        output << "# TYPE pistachioloom_" << name << " histogram\n";
        for (auto&& cell : bh::indexed(data.cells_, bh::coverage::all)) {
            cumulativeCount += static_cast<std::uint64_t>(cell->value());
            if (cell.index() < 0 || cell.index() >= static_cast<int>(cellCount))
                continue;
            output << "pistachioloom_" << name << "_bucket{le=\"" << cell.bin().upper() << "\"} " << cumulativeCount << '\n';
        }
        output << "pistachioloom_" << name << "_bucket{le=\"+Inf\"} " << cumulativeCount << '\n';
        output << "pistachioloom_" << name << "_sum " << static_cast<double>(data.sumNanoseconds_) / 1e9 << '\n';
        output << "pistachioloom_" << name << "_count " << cumulativeCount << '\n';
    }

} // namespace

struct Metrics::State {
    std::array<std::atomic<std::uint64_t>, counterCount> counters_ {};
    std::array<HistogramData, histogramCount> histograms_;
};

Metrics::Metrics()
    : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(Counter counter, std::uint64_t count)
{
    state_->counters_[static_cast<std::size_t>(counter)].fetch_add(count, std::memory_order_relaxed);
}

std::uint64_t Metrics::value(Counter counter) const
{
    return state_->counters_[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
}

void Metrics::observe(Histogram histogram, std::chrono::nanoseconds duration)
{
    HistogramData& data = state_->histograms_[static_cast<std::size_t>(histogram)];
    data.cells_(std::chrono::duration<double>(duration).count());
    data.sumNanoseconds_ += static_cast<std::uint64_t>(duration.count());
}

std::string Metrics::render(const std::map<std::string, double>& gauges) const
{
    std::ostringstream output;
    for (std::size_t i = 0; i < counterCount; ++i) {
        output << "# TYPE pistachioloom_" << counterNames[i] << "_total counter\n";
        output << "pistachioloom_" << counterNames[i] << "_total " << state_->counters_[i].load() << '\n';
    }
    for (std::size_t i = 0; i < histogramCount; ++i)
        renderHistogram(output, histogramNames[i], state_->histograms_[i]);
    for (const auto& [name, value] : gauges)
        output << "# TYPE pistachioloom_" << name << " gauge\npistachioloom_" << name << ' ' << value << '\n';
    return output.str();
}

} // namespace pistachioloom
