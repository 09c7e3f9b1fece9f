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
static constexpr int maxSoundCountsPerMessage = 64;
// Greater ages are reduced to this one. A crash of this age is no longer kept, and its
// conversion to a time cannot overflow.
static constexpr std::uint64_t maxAgeMs = 366ULL * 24 * 3600 * 1000;

static std::uint64_t ageOf(SteadyTime at, SteadyTime now)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(now - at).count()));
}

static SteadyTime timeOf(std::uint64_t ageMs, SteadyTime now)
{
    return now - milliseconds(static_cast<std::int64_t>(std::min(ageMs, maxAgeMs)));
}

static void putVerdicts(const Suspect& suspect, wire::SuspectReport& report, SteadyTime now)
{
    if (suspect.condemnedAt_ != SteadyTime {})
        report.set_condemned_age_ms(ageOf(suspect.condemnedAt_, now));
    if (suspect.releasedAt_ != SteadyTime {})
        report.set_released_age_ms(ageOf(suspect.releasedAt_, now));
    if (!suspect.order_)
        return;
    report.set_order_age_ms(ageOf(suspect.order_->at_, now));
    report.set_order_length_ms(static_cast<std::uint64_t>(suspect.order_->length_.count()));
}

static void readVerdicts(const wire::SuspectReport& report, Suspect& suspect, SteadyTime now)
{
    if (report.has_condemned_age_ms())
        suspect.condemnedAt_ = timeOf(report.condemned_age_ms(), now);
    if (report.has_released_age_ms())
        suspect.releasedAt_ = timeOf(report.released_age_ms(), now);
    if (report.has_order_age_ms())
        suspect.order_ = QuarantineOrder { timeOf(report.order_age_ms(), now), milliseconds(static_cast<std::int64_t>(std::min(report.order_length_ms(), maxAgeMs))) };
}

static std::optional<AttributeKind> kindOf(const wire::SuspectReport& report)
{
    for (AttributeKind kind : { AttributeKind::Request, AttributeKind::PromptPart }) {
        if (report.kind() == static_cast<std::uint32_t>(kind))
            return kind;
    }
    return std::nullopt;
}

void putSuspects(const std::vector<Suspect>& suspects, google::protobuf::RepeatedPtrField<wire::SuspectReport>& message, SteadyTime now)
{
    for (const Suspect& suspect : suspects) {
        wire::SuspectReport& report = *message.Add();
        report.set_request(suspect.attribute_.key_.value_);
        report.set_kind(static_cast<std::uint32_t>(suspect.attribute_.kind_));
        report.set_organisation(suspect.organisation_);
        for (const SoundCount& count : suspect.sound_) {
            report.add_sound_nodes(count.node_.value_);
            report.add_sound_counts(count.count_);
        }
        putVerdicts(suspect, report, now);
        std::uint32_t bit = 1;
        for (const Crash& crash : suspect.crashes_) {
            report.add_backends(crash.backend_.value_);
            report.add_ages_ms(ageOf(crash.at_, now));
            report.set_cleared(report.cleared() | (crash.isCleared_ ? bit : 0));
            bit <<= 1U;
        }
    }
}

std::vector<Suspect> suspectsOf(const google::protobuf::RepeatedPtrField<wire::SuspectReport>& message, SteadyTime now)
{
    std::vector<Suspect> suspects;
    for (const wire::SuspectReport& report : message) {
        // A node of a later version may report kinds that this one does not know.
        auto kind = kindOf(report);
        if (!kind)
            continue;
        Suspect suspect { { *kind, { report.request() } }, report.organisation(), {} };
        readVerdicts(report, suspect, now);
        for (int i = 0; i < std::min({ report.sound_nodes_size(), report.sound_counts_size(), maxSoundCountsPerMessage }); ++i)
            suspect.sound_.push_back({ { report.sound_nodes(i) }, report.sound_counts(i) });
        int count = std::min({ report.backends_size(), report.ages_ms_size(), maxCrashesPerMessage });
        for (int i = 0; i < count; ++i) {
            suspect.crashes_.push_back({ { report.backends(i) }, timeOf(report.ages_ms(i), now), (report.cleared() >> static_cast<unsigned>(i) & 1U) != 0 });
        }
        if (count || suspect.order_)
            suspects.push_back(std::move(suspect));
    }
    return suspects;
}

} // namespace pistachioloom
