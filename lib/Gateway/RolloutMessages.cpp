//===- lib/Gateway/RolloutMessages.cpp - messages about roll-outs ---------===//
///
/// \file
/// See RolloutMessages.h.
//===----------------------------------------------------------------------===//
#include "RolloutMessages.h"

#include <algorithm>
#include <cmath>

namespace pistachioloom {

wire::RolloutReport toWire(const RolloutState& state)
{
    wire::RolloutReport report;
    report.set_service(state.order_.service_.value_);
    report.set_target(state.order_.target_.value_);
    report.set_number(state.order_.number_.value_);
    report.set_period_ms(static_cast<std::uint64_t>(state.order_.period_.count()));
    report.set_phase(std::string(toString(state.phase_)));
    report.set_share(state.share_);
    report.set_term(state.term_);
    report.set_step(state.step_);
    return report;
}

std::optional<RolloutState> fromWire(const wire::RolloutReport& report)
{
    auto phase = parseRolloutPhase(report.phase());
    bool isValid = phase && report.number() && !report.service().empty() && !report.target().empty() && std::isfinite(report.share());
    if (!isValid)
        return std::nullopt;
    RolloutOrder order { { report.number() }, { report.service() }, { report.target() }, milliseconds(static_cast<std::int64_t>(report.period_ms())) };
    return RolloutState { std::move(order), *phase, std::clamp(report.share(), 0.0, 1.0), report.term(), report.step() };
}

void putRollouts(const std::vector<RolloutTracker::ReceivedState>& states, google::protobuf::RepeatedPtrField<wire::RolloutReport>& message, SteadyTime now)
{
    for (const RolloutTracker::ReceivedState& received : states) {
        wire::RolloutReport& report = *message.Add();
        report = toWire(received.state_);
        report.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(now - received.reportedAt_).count())));
    }
}

void putTallies(const RolloutTallies& tallies, google::protobuf::RepeatedPtrField<wire::RolloutCounts>& message)
{
    for (const auto& [service, tally] : tallies) {
        wire::RolloutCounts& counts = *message.Add();
        counts.set_service(service.value_);
        counts.set_number(tally.number_.value_);
        counts.set_requests(tally.requests_);
        counts.set_exposed(tally.exposed_);
        for (const auto& [cell, answers] : tally.cells_) {
            counts.add_backends(cell.first);
            counts.add_routes(cell.second);
            counts.add_answers(answers.answers_);
            counts.add_bad(answers.bad_);
        }
    }
}

RolloutTallies talliesOf(const google::protobuf::RepeatedPtrField<wire::RolloutCounts>& message)
{
    RolloutTallies tallies;
    for (const wire::RolloutCounts& counts : message) {
        RolloutTally tally { { counts.number() }, counts.requests(), counts.exposed(), {} };
        int rows = std::min({ counts.backends_size(), counts.routes_size(), counts.answers_size(), counts.bad_size() });
        for (int i = 0; i < rows; ++i)
            tally.cells_[{ counts.backends(i), counts.routes(i) }] = { counts.answers(i), counts.bad(i) };
        tallies[{ counts.service() }] = std::move(tally);
    }
    return tallies;
}

} // namespace pistachioloom
