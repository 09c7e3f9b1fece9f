//===- pistachioloom/Catalogue.h - entries and optimistic edits ------------===//
///
/// \file
/// The catalogue as a deterministic state machine over the log: every reader
/// applies the same records in offset order and reaches the same state. An edit
/// takes effect only if its base version is still current, so exactly one of
/// several concurrent edits is accepted, and it is the same one on every node.
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

/// Resource limits of one workload.
struct EntryLimits {
    std::uint64_t requestsInProgress_ = 0;
    std::uint64_t tokensPerSecond_ = 0;
    /// Tokens that may be used at once after a time without requests.
    std::uint64_t burst_ = 0;
    /// Requests that may wait for a slot.
    std::uint64_t queueBound_ = 0;
    milliseconds deadline_ {};
    milliseconds latencyTarget_ {};

    /// Maximum of `tokensPerSecond_`, which an entry without a rate limit has.
    static constexpr std::uint64_t maxTokensPerSecond = 100000000;
    bool hasTokenLimit() const { return tokensPerSecond_ && tokensPerSecond_ < maxTokensPerSecond; }
};

/// An entry for a customer's calls: the models and services that they may use, their API
/// key, and their limits.
struct Workload {
    OrganisationId owner_;
    ServiceClass class_ = ServiceClass::Paid;
    /// SHA-256 of the API key, in hexadecimal digits.
    std::string apiKeyHash_;
    std::vector<std::string> models_;
    std::vector<std::string> services_;
    EntryLimits limits_;
    std::uint64_t weight_ = 1;
    std::uint64_t priority_ = 0;
};

/// The configuration that an engine runs or is to load.
struct EngineConfiguration {
    std::string version_;
    std::vector<std::string> adapters_;
    /// The engine's own name of its role, such as `prefill` or `decode`; may be
    /// empty.
    std::string role_;

    auto operator<=>(const EngineConfiguration&) const = default;
};

/// Scheduling and roll-out settings of the backend servers of one model or
/// service.
struct Backend {
    enum class Kind {
        ModelEngine,
        Service,
    };
    Kind kind_ = Kind::ModelEngine;
    /// Requests that one backend server processes concurrently.
    std::uint64_t concurrency_ = 1;
    /// Slots of each engine that are reserved for requests of the paid class.
    std::uint64_t paidReserve_ = 0;
    /// Whether calls are idempotent and may be retried.
    bool isRepeatable_ = true;
    /// Whether an engine rejects an order whose fencing token is older than
    /// that of an order it has executed.
    bool honoursFencing_ = false;
    /// Target configuration of the engines; nullopt leaves them unchanged.
    std::optional<EngineConfiguration> configuration_;
    /// Engines of one data centre that may be loading, and thus unavailable, at
    /// the same time.
    std::uint64_t maxLoading_ = 1;
};

/// One entry, which is either a workload or a backend.
struct CatalogueEntry {
    EntryName name_;
    std::optional<Workload> workload_;
    std::optional<Backend> backend_;
    /// The source text, kept for listings and edits.
    std::string text_;
    /// Log offset of the accepted record plus one; 0 if there is no entry.
    LogOffset version_;
};

/// Parses an entry from YAML or JSON. Appends every error, with its field, to
/// \p errors. \returns nullopt if there is any.
std::optional<CatalogueEntry> parseEntry(const std::string& text, const std::string& file, InputErrors& errors);

/// A change that an operator requests.
struct CatalogueEdit {
    EditId id_;
    EntryName entry_;
    /// Version of the entry that the edit is based on; 0 if it adds the entry.
    LogOffset baseVersion_;
    /// New text of the entry; an empty text removes the entry.
    std::string body_;
};

/// Whether an edit was accepted.
struct EditOutcome {
    bool isAccepted_ = false;
    /// The entry's version after the edit was applied or rejected.
    LogOffset currentVersion_;
};

/// An accepted edit, as listed by `catalogue history`.
struct CatalogueChange {
    EntryName entry_;
    LogOffset version_;
    EditId edit_;
    bool isRemoval_ = false;
};

std::string encodeEdit(const CatalogueEdit& edit);

/// Entries at one log offset; immutable once it is published to readers.
struct CatalogueView {
    std::map<EntryName, std::shared_ptr<const CatalogueEntry>> entries_;
    /// Maps the hash of an API key to the workload that owns the key.
    std::map<std::string, std::shared_ptr<const CatalogueEntry>> byApiKeyHash_;
    /// Every record below this offset has been applied.
    LogOffset nextOffset_;

    std::shared_ptr<const CatalogueEntry> findEntry(const EntryName& name) const;
    std::shared_ptr<const CatalogueEntry> findByApiKey(std::string_view apiKey) const;
};

/// Applies the catalogue's log to an in-memory view.
///
/// The offset only increases: a record below nextOffset() is ignored. A record
/// beyond it, which is read if earlier ones were trimmed from the log, stays
/// pending until a snapshot that covers the gap arrives, so no record is silently skipped.
class CatalogueState {
public:
    /// Applies one record of the log.
    void apply(LogOffset offset, const std::string& record);
    /// Adopts a peer's snapshot if it is valid and newer than this state.
    /// \returns whether it was adopted.
    bool adoptSnapshot(const std::string& snapshot);
    /// Encodes the state as a snapshot record, which must be appended before
    /// the log is trimmed.
    std::string encodeSnapshot() const;

    LogOffset nextOffset() const { return view_.nextOffset_; }
    /// The next offset to read from the log, which is past all pending records.
    LogOffset nextReadOffset() const;
    const CatalogueView& view() const { return view_; }
    /// Whether records are pending because earlier ones were trimmed from the
    /// log before they were read.
    bool hasGap() const { return !pending_.empty(); }
    /// Offset of the newest snapshot record in the log.
    LogOffset lastSnapshot() const { return lastSnapshot_; }
    std::optional<EditOutcome> outcomeOf(const EditId& edit) const;
    const std::deque<CatalogueChange>& history() const { return history_; }
    /// \returns the applied records from \p offset on, or nullopt if some of
    /// them are no longer kept.
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
    /// Adopts \p snapshot if it covers the records below \p minAsOf and is newer than this
    /// state. \returns whether it was adopted.
    bool adopt(const std::string& snapshot, LogOffset minAsOf);
    void replayPending();
    void rebuildIndex();

    CatalogueView view_;
    /// Outcomes of the newest edits.
    std::map<EditId, EditOutcome> outcomes_;
    /// The keys of `outcomes_`, oldest first.
    std::deque<EditId> outcomeOrder_;
    std::deque<CatalogueChange> history_;
    std::deque<std::pair<LogOffset, std::string>> recentRecords_;
    /// Records after a gap in the log; empty if there is no gap.
    std::deque<Pending> pending_;
    LogOffset lastSnapshot_;
};

} // namespace pistachioloom
