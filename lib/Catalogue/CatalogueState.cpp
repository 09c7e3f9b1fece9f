//===- lib/Catalogue/CatalogueState.cpp - edits applied in log order -------===//
///
/// \file
/// Application of edits by base version, snapshots, and handling of log gaps.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Catalogue.h"

#include "pistachioloom/Json.h"
#include <algorithm>

namespace pistachioloom {

namespace json = boost::json;

namespace {

    // Numbers of outcomes, changes and applied records that are kept in memory.
    constexpr std::size_t maxOutcomes = 4096;
    constexpr std::size_t maxOutcomesInSnapshot = 256;
    constexpr std::size_t maxHistory = 1024;
    constexpr std::size_t maxRecentRecords = 1024;

    struct Record {
        std::optional<CatalogueEdit> edit_;
        /// The log offset that a snapshot covers; nullopt for other records.
        std::optional<LogOffset> snapshotAsOf_;
    };

    // An unknown or malformed record has no effect. Every reader treats it the
    // same way, so the states stay equal.
    Record parseRecord(const std::string& text)
    {
        Record record;
        auto object = parseJsonObject(text);
        if (!object)
            return record;
        std::string type = textField(*object, "type");
        if (type == "snapshot")
            record.snapshotAsOf_ = LogOffset { numberField(*object, "as_of") };
        if (type == "edit")
            record.edit_ = CatalogueEdit { { textField(*object, "edit") }, { textField(*object, "entry") }, { numberField(*object, "base") }, textField(*object, "body") };
        return record;
    }

} // namespace

std::string encodeEdit(const CatalogueEdit& edit)
{
    return json::serialize(json::object {
        { "type", "edit" },
        { "edit", edit.id_.value_ },
        { "entry", edit.entry_.value_ },
        { "base", edit.baseVersion_.value_ },
        { "body", edit.body_ },
    });
}

std::shared_ptr<const CatalogueEntry> CatalogueView::findEntry(const EntryName& name) const
{
    auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : found->second;
}

std::shared_ptr<const CatalogueEntry> CatalogueView::findByApiKey(std::string_view apiKey) const
{
    // Keys are looked up by their hash, so the time taken reveals nothing about
    // the stored keys.
    std::string hash = sha256Hex(apiKey);
    auto found = byApiKeyHash_.find(hash);
    if (found == byApiKeyHash_.end() || !equalInConstantTime(found->first, hash))
        return nullptr;
    return found->second;
}

void CatalogueState::apply(LogOffset offset, const std::string& record)
{
    if (offset < view_.nextOffset_)
        return;
    if (offset == view_.nextOffset_ && pending_.empty()) {
        applyInOrder(offset, record);
        return;
    }
    if (!pending_.empty() && offset <= pending_.back().offset_)
        return;
    pending_.push_back({ offset, record });
    Record parsed = parseRecord(record);
    if (parsed.snapshotAsOf_ && adopt(record, pending_.front().offset_)) {
        lastSnapshot_ = offset;
        replayPending();
    }
}

LogOffset CatalogueState::nextReadOffset() const
{
    if (pending_.empty())
        return view_.nextOffset_;
    return { pending_.back().offset_.value_ + 1 };
}

void CatalogueState::applyInOrder(LogOffset offset, const std::string& record)
{
    Record parsed = parseRecord(record);
    if (parsed.edit_)
        applyEdit(offset, *parsed.edit_);
    if (parsed.snapshotAsOf_)
        lastSnapshot_ = offset;
    rememberRecord(offset, record);
    view_.nextOffset_ = { offset.value_ + 1 };
}

void CatalogueState::applyEdit(LogOffset offset, const CatalogueEdit& edit)
{
    // An edit is appended twice if its sender retried after a lost response;
    // only the first copy counts.
    if (outcomes_.contains(edit.id_))
        return;
    auto current = view_.findEntry(edit.entry_);
    LogOffset currentVersion = current ? current->version_ : LogOffset {};
    InputErrors errors;
    auto parsed = edit.body_.empty() ? std::nullopt : parseEntry(edit.body_, "record", errors);
    bool isValid = edit.body_.empty() || (parsed && parsed->name_ == edit.entry_);
    if (edit.baseVersion_ != currentVersion || !isValid) {
        rememberOutcome(edit.id_, { false, currentVersion });
        return;
    }
    LogOffset version { offset.value_ + 1 };
    if (parsed) {
        parsed->version_ = version;
        view_.entries_[edit.entry_] = std::make_shared<const CatalogueEntry>(std::move(*parsed));
    } else {
        view_.entries_.erase(edit.entry_);
        version = {};
    }
    rememberOutcome(edit.id_, { true, version });
    history_.push_back({ edit.entry_, { offset.value_ + 1 }, edit.id_, edit.body_.empty() });
    if (history_.size() > maxHistory)
        history_.pop_front();
    rebuildIndex();
}

void CatalogueState::rebuildIndex()
{
    view_.byApiKeyHash_.clear();
    for (const auto& [name, entry] : view_.entries_) {
        if (entry->workload_)
            view_.byApiKeyHash_[entry->workload_->apiKeyHash_] = entry;
    }
}

void CatalogueState::rememberOutcome(const EditId& edit, const EditOutcome& outcome)
{
    if (!outcomes_.emplace(edit, outcome).second)
        return;
    outcomeOrder_.push_back(edit);
    if (outcomeOrder_.size() <= maxOutcomes)
        return;
    outcomes_.erase(outcomeOrder_.front());
    outcomeOrder_.pop_front();
}

void CatalogueState::rememberRecord(LogOffset offset, const std::string& record)
{
    recentRecords_.emplace_back(offset, record);
    if (recentRecords_.size() > maxRecentRecords)
        recentRecords_.pop_front();
}

std::optional<EditOutcome> CatalogueState::outcomeOf(const EditId& edit) const
{
    auto found = outcomes_.find(edit);
    return found == outcomes_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::vector<std::pair<LogOffset, std::string>>> CatalogueState::recordsFrom(LogOffset offset) const
{
    std::vector<std::pair<LogOffset, std::string>> records;
    if (offset >= view_.nextOffset_)
        return records;
    if (recentRecords_.empty() || recentRecords_.front().first > offset)
        return std::nullopt;
    for (const auto& item : recentRecords_) {
        if (item.first >= offset)
            records.push_back(item);
    }
    return records;
}

std::string CatalogueState::encodeSnapshot() const
{
    json::array entries;
    for (const auto& [name, entry] : view_.entries_)
        entries.push_back(json::object { { "name", name.value_ }, { "version", entry->version_.value_ }, { "body", entry->text_ } });
    json::array edits;
    std::size_t skipped = outcomeOrder_.size() > maxOutcomesInSnapshot ? outcomeOrder_.size() - maxOutcomesInSnapshot : 0;
    for (std::size_t i = skipped; i < outcomeOrder_.size(); ++i) {
        const EditOutcome& outcome = outcomes_.at(outcomeOrder_[i]);
        edits.push_back(json::object { { "edit", outcomeOrder_[i].value_ }, { "accepted", outcome.isAccepted_ }, { "version", outcome.currentVersion_.value_ } });
    }
    return json::serialize(json::object {
        { "type", "snapshot" },
        { "as_of", view_.nextOffset_.value_ },
        { "entries", std::move(entries) },
        { "edits", std::move(edits) },
    });
}

bool CatalogueState::adoptSnapshot(const std::string& snapshot)
{
    if (!adopt(snapshot, { view_.nextOffset_.value_ + 1 }))
        return false;
    replayPending();
    return true;
}

bool CatalogueState::adopt(const std::string& snapshot, LogOffset minAsOf)
{
    auto object = parseJsonObject(snapshot);
    if (!object)
        return false;
    LogOffset asOf { numberField(*object, "as_of") };
    if (asOf < minAsOf || asOf <= view_.nextOffset_ || !arrayField(*object, "entries"))
        return false;
    std::map<EntryName, std::shared_ptr<const CatalogueEntry>> adopted;
    for (const json::object& item : objectsField(*object, "entries")) {
        InputErrors errors;
        auto entry = parseEntry(textField(item, "body"), "snapshot", errors);
        if (!entry)
            return false;
        entry->version_ = { numberField(item, "version") };
        EntryName name = entry->name_;
        adopted[name] = std::make_shared<const CatalogueEntry>(std::move(*entry));
    }
    view_.entries_ = std::move(adopted);
    view_.nextOffset_ = asOf;
    recentRecords_.clear();
    rebuildIndex();
    for (const json::object& edit : objectsField(*object, "edits"))
        rememberOutcome({ textField(edit, "edit") }, { flagField(edit, "accepted"), { numberField(edit, "version") } });
    return true;
}

void CatalogueState::replayPending()
{
    std::deque<Pending> waiting = std::move(pending_);
    pending_.clear();
    for (const Pending& item : waiting)
        apply(item.offset_, item.record_);
}

} // namespace pistachioloom
