//===- lib/Gateway/BackendStatements.cpp - conditions to tell peers about -===//
///
/// \file
/// See BackendStatements.h.
//===----------------------------------------------------------------------===//
#include "BackendStatements.h"

#include "BackendNotices.h"

#include <algorithm>

namespace pistachioloom {

namespace {

    /// Returns the kind on the wire. That a server is leaving is told apart, by
    /// BackendNotices, since it is final.
    wire::BackendStatement::Kind toWire(ConditionKind kind)
    {
        switch (kind) {
        case ConditionKind::Leaving:
            return wire::BackendStatement::UNKNOWN;
        case ConditionKind::Pause:
            return wire::BackendStatement::PAUSE;
        case ConditionKind::RequestLimit:
            return wire::BackendStatement::REQUEST_LIMIT;
        case ConditionKind::Brittle:
            return wire::BackendStatement::BRITTLE;
        case ConditionKind::Removed:
            return wire::BackendStatement::REMOVED;
        }
        return wire::BackendStatement::UNKNOWN;
    }

    std::optional<ConditionKind> fromWire(wire::BackendStatement::Kind kind)
    {
        if (kind == wire::BackendStatement::PAUSE)
            return ConditionKind::Pause;
        if (kind == wire::BackendStatement::REQUEST_LIMIT)
            return ConditionKind::RequestLimit;
        if (kind == wire::BackendStatement::BRITTLE)
            return ConditionKind::Brittle;
        if (kind == wire::BackendStatement::REMOVED)
            return ConditionKind::Removed;
        return std::nullopt;
    }

} // namespace

bool BackendStatements::add(const BackendStatement& statement)
{
    auto [found, isNew] = statements_.try_emplace({ statement.backend_, statement.kind_ }, statement);
    if (isNew || found->second.statedAt_ >= statement.statedAt_)
        return isNew;
    bool isChanged = found->second.value_ != statement.value_;
    found->second = statement;
    return isChanged;
}

std::vector<BackendStatement> BackendStatements::select(SteadyTime now)
{
    std::erase_if(statements_, [&](const auto& entry) { return now - entry.second.statedAt_ > statementLifetime; });
    std::vector<BackendStatement> selected;
    if (statements_.empty())
        return selected;
    std::size_t taken = std::min(statements_.size(), maxNotices);
    cursor_ = taken < statements_.size() ? (cursor_ + taken) % statements_.size() : 0;
    auto next = std::next(statements_.begin(), static_cast<std::ptrdiff_t>(cursor_));
    while (selected.size() < taken) {
        selected.push_back(next->second);
        if (++next == statements_.end())
            next = statements_.begin();
    }
    return selected;
}

void putStatements(const std::vector<BackendStatement>& statements, google::protobuf::RepeatedPtrField<wire::BackendStatement>& message, SteadyTime now)
{
    for (const BackendStatement& statement : statements) {
        wire::BackendStatement& entry = *message.Add();
        entry.set_backend(statement.backend_.value_);
        entry.set_kind(toWire(statement.kind_));
        entry.set_value(statement.value_);
        entry.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(now - statement.statedAt_).count())));
    }
}

std::vector<BackendStatement> statementsOf(const google::protobuf::RepeatedPtrField<wire::BackendStatement>& message, SteadyTime now)
{
    std::vector<BackendStatement> statements;
    for (const wire::BackendStatement& entry : message) {
        auto kind = fromWire(entry.kind());
        bool isValid = kind && entry.value() >= 0 && entry.age_ms() <= static_cast<std::uint64_t>(statementLifetime.count()) * 2;
        if (isValid)
            statements.push_back({ { entry.backend() }, *kind, entry.value(), now - milliseconds(static_cast<std::int64_t>(entry.age_ms())) });
    }
    return statements;
}

} // namespace pistachioloom
