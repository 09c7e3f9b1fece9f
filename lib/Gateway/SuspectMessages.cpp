//===- lib/Gateway/SuspectMessages.cpp - messages about suspects ----------===//
///
/// \file
/// See SuspectMessages.h.
//===----------------------------------------------------------------------===//
#include "SuspectMessages.h"

#include <algorithm>

namespace pistachioloom {

// SuspectReport::cleared has this many bits, one for each crash.
static constexpr int maxCrashesPerMessage = 32;
// Greater ages are reduced to this one. A crash of this age is no longer kept, and its
// conversion to a time cannot overflow.
static constexpr std::uint64_t maxAgeMs = 366ULL * 24 * 3600 * 1000;

void putSuspects(const std::vector<Suspect>& suspects, google::protobuf::RepeatedPtrField<wire::SuspectReport>& message, SteadyTime now)
{
    for (const Suspect& suspect : suspects) {
        wire::SuspectReport& report = *message.Add();
        report.set_request(suspect.request_.value_);
        report.set_organisation(suspect.organisation_);
        std::uint32_t bit = 1;
        for (const Crash& crash : suspect.crashes_) {
            auto age = std::chrono::duration_cast<milliseconds>(now - crash.at_).count();
            report.add_backends(crash.backend_.value_);
            report.add_ages_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, age)));
            report.set_cleared(report.cleared() | (crash.isCleared_ ? bit : 0));
            bit <<= 1U;
        }
    }
}

std::vector<Suspect> suspectsOf(const google::protobuf::RepeatedPtrField<wire::SuspectReport>& message, SteadyTime now)
{
    std::vector<Suspect> suspects;
    for (const wire::SuspectReport& report : message) {
        Suspect suspect { { report.request() }, report.organisation(), {} };
        int count = std::min({ report.backends_size(), report.ages_ms_size(), maxCrashesPerMessage });
        for (int i = 0; i < count; ++i) {
            auto age = milliseconds(static_cast<std::int64_t>(std::min(report.ages_ms(i), maxAgeMs)));
            suspect.crashes_.push_back({ { report.backends(i) }, now - age, (report.cleared() >> static_cast<unsigned>(i) & 1U) != 0 });
        }
        if (count)
            suspects.push_back(std::move(suspect));
    }
    return suspects;
}

} // namespace pistachioloom
