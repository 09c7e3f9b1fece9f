//===- pistachioloom/Catalogue.h - entries and the rule that orders edits --===//
///
/// \file
/// The catalogue as a pure function of the log: every reader applies the same
/// records in offset order and reaches the same state. An edit takes effect
/// only if the version it was based on is still current, so racing operators
/// get one winner, the same on every node.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"
#include "pistachioloom/Yaml.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace pistachioloom {

enum class ServiceClass {
    Paid,
    Trial,
};

std::string_view toString(ServiceClass serviceClass);

/// What one entry may use at a time.
struct EntryLimits {
    std::uint64_t requestsInProgress_ = 0;
    std::uint64_t tokensPerSecond_ = 0;
    std::uint64_t burst_ = 0;
    std::uint64_t queueBound_ = 0;
    milliseconds deadline_ {};
    milliseconds latencyTarget_ {};

    /// Without a limit the rate is the largest that can be stated.
    static constexpr std::uint64_t maxTokensPerSecond = 100000000;
    bool hasTokenLimit() const { return tokensPerSecond_ && tokensPerSecond_ < maxTokensPerSecond; }
};

/// A customer's use of the system.
struct Workload {
    OrganisationId owner_;
    ServiceClass class_ = ServiceClass::Paid;
    std::string apiKeyHash_;
    std::vector<std::string> models_;
    std::vector<std::string> services_;
    EntryLimits limits_;
    std::uint64_t weight_ = 1;
    std::uint64_t priority_ = 0;
};

/// What an engine is to run, or runs.
struct EngineConfiguration {
    std::string version_;
    std::vector<std::string> adapters_;
    /// The engine's word for its part, such as `prefill` or `decode`; may be empty.
    std::string role_;

    auto operator<=>(const EngineConfiguration&) const = default;
};

/// How the back ends of one model or service are to be treated.
struct Backend {
    enum class Kind {
        ModelEngine,
        Service,
    };
    Kind kind_ = Kind::ModelEngine;
    /// Requests one backend server works on at once.
    std::uint64_t concurrency_ = 1;
    /// Slots of each engine that trial work leaves to paid work.
    std::uint64_t paidReserve_ = 0;
    /// Whether a call may be repeated without harm.
    bool isRepeatable_ = true;
    /// Whether an engine refuses an order whose fencing token is older than one
    /// it has obeyed.
    bool honoursFencing_ = false;
    /// What the engines are brought to; nullopt leaves them as they are.
    std::optional<EngineConfiguration> configuration_;
    /// Engines of one data centre that may be away for a load at once.
    std::uint64_t maxLoading_ = 1;
};

/// One entry: either a workload or a backend.
struct CatalogueEntry {
    EntryName name_;
    std::optional<Workload> workload_;
    std::optional<Backend> backend_;
    /// The text it was parsed from, kept for listings and edits.
    std::string text_;
    /// Log offset of the accepted record plus one; 0 for no entry.
    LogOffset version_;
};

/// Parses an entry from YAML or JSON, reporting every mistake with its field.
std::optional<CatalogueEntry> parseEntry(const std::string& text, const std::string& file, InputErrors& errors);

/// A change that an operator asks for.
struct CatalogueEdit {
    EditId id_;
    EntryName entry_;
    LogOffset baseVersion_;
    /// Entry text; empty removes the entry.
    std::string body_;
};

/// What became of an edit.
struct EditOutcome {
    bool isAccepted_ = false;
    /// The entry's version after the edit was read.
    LogOffset currentVersion_;
};

/// An accepted edit, for `catalogue history`.
struct CatalogueChange {
    EntryName entry_;
    LogOffset version_;
    EditId edit_;
    bool isRemoval_ = false;
};

std::string encodeEdit(const CatalogueEdit& edit);

/// Entries at one offset; immutable once published to readers.
struct CatalogueView {
    std::map<EntryName, std::shared_ptr<const CatalogueEntry>> entries_;
    /// Hash of the API key to the workload that owns it.
    std::map<std::string, std::shared_ptr<const CatalogueEntry>> byApiKeyHash_;
    /// All records below this offset are applied.
    LogOffset nextOffset_;

    std::shared_ptr<const CatalogueEntry> findEntry(const EntryName& name) const;
    std::shared_ptr<const CatalogueEntry> findByApiKey(std::string_view apiKey) const;
};

/// The reader of the catalogue's stream.
///
/// Offsets only go forward: a record below nextOffset() is ignored, and one
/// that leaves a gap (the log was trimmed) is held until a snapshot that covers
/// the gap arrives, so nothing is skipped silently.
class CatalogueState {
public:
    /// Applies one record of the log.
    void apply(LogOffset offset, const std::string& record);
    /// Adopts a peer's snapshot if it is newer. \returns whether it was.
    bool adoptSnapshot(const std::string& snapshot);
    /// The state as a snapshot record, to be appended before the log trims.
    std::string encodeSnapshot() const;

    LogOffset nextOffset() const { return view_.nextOffset_; }
    /// Where to read the log on: past the records that wait for a snapshot.
    LogOffset nextReadOffset() const;
    const CatalogueView& view() const { return view_; }
    /// Whether records wait for a snapshot.
    bool hasGap() const { return !pending_.empty(); }
    /// Offset of the newest snapshot record seen.
    LogOffset lastSnapshot() const { return lastSnapshot_; }
    std::optional<EditOutcome> outcomeOf(const EditId& edit) const;
    const std::deque<CatalogueChange>& history() const { return history_; }
    /// Recent records from \p offset on, or nullopt if they are no longer kept.
    std::optional<std::vector<std::pair<LogOffset, std::string>>> recordsFrom(LogOffset offset) const;

private:
    struct Pending {
        LogOffset offset_;
        std::string record_;
    };

    void applyInOrder(LogOffset offset, const std::string& record);
    void applyEdit(LogOffset offset, const CatalogueEdit& edit);
    void rememberOutcome(const EditId& edit, const EditOutcome& outcome);
    void rememberRecord(LogOffset offset, const std::string& record);
    bool adopt(const std::string& snapshot, LogOffset minAsOf);
    void replayPending();
    void rebuildIndex();

    CatalogueView view_;
    std::map<EditId, EditOutcome> outcomes_;
    std::deque<EditId> outcomeOrder_;
    std::deque<CatalogueChange> history_;
    std::deque<std::pair<LogOffset, std::string>> recentRecords_;
    std::deque<Pending> pending_;
    LogOffset lastSnapshot_;
};

} // namespace pistachioloom
