//===- lib/Gateway/PlatformFeed.h - configuration and registry feed -------===//
///
/// \file
/// Reads the configuration and the registry that the platform publishes, or fetches them
/// from peers while this node does not read from the platform or the platform is
/// unavailable to it.
//===----------------------------------------------------------------------===//
#pragma once

#include "ConfigurationFetcher.h"
#include "TransferLimiter.h"

namespace pistachioloom {

class PlatformFeed {
public:
    PlatformFeed(asio::io_context& io, GatewayContext& context, PeerReports& reports, PeerPool& peers, BackgroundExecutor& background);

    void start();
    /// Returns whether this node reads from the platform now, which Readers.h decides. A
    /// selected node whose reads fail continues to read, with pauses, until the platform
    /// serves it again.
    bool isReader() const;
    /// Returns whether the latest read of this node failed, if it is a reader.
    bool isPlatformUnavailable() const { return isRegistryUnavailable_ || isConfigurationUnavailable_; }
    /// Returns the time since which this node's list of backend servers has always been current,
    /// give or take `maxListLag`; nullopt if it is not. Thread-safe.
    std::optional<SteadyTime> registryCurrentSince() const;
    /// Waits until the list in use is known to have been that of the platform at \p time or later.
    /// \returns false if that takes too long. Thread-safe.
    asio::awaitable<bool> confirmList(SteadyTime time);
    /// Returns what isStartTurn() needs to know of this node.
    ColdStart coldStart() const;
    /// Answers a peer that fetches what this node has read from the platform. A peer that
    /// fetches the configuration while maxTransfers other peers receive it is asked to
    /// retry later.
    asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, wire::Frame request);

private:
    asio::awaitable<void> followConfiguration();
    asio::awaitable<void> followRegistry();
    asio::awaitable<void> fetchBackendsFromPeers();
    asio::awaitable<bool> waitForConfirmation(SteadyTime time);
    std::optional<KnownPeer> randomReader() const;
    wire::Frame answer(const wire::Frame& request);
    bool hasNewerConfiguration(const wire::ConfigurationFetch& fetch) const;
    /// Sends the configuration to a peer, and returns once the peer has all of it.
    asio::awaitable<void> sendConfiguration(std::shared_ptr<PeerStream> stream, wire::Frame request);
    wire::Frame busyAnswer();
    asio::awaitable<void> fetchBackends(VmId vm, Peer peer);
    /// Returns the peer to fetch the backend servers from, if this node needs them.
    std::optional<KnownPeer> backendsSource() const;
    asio::awaitable<std::optional<wire::ConfigurationUpdate>> callPeer(VmId vm, Peer peer, wire::Frame request);
    void logAvailability(const std::string& resource, const Error* error) const;
    void logChange(const LogLine& line);
    /// Applies \p read, and removes those of the known servers \p covered that it does not
    /// contain. \p source is the platform or the peer that sent it.
    void apply(const RegistryRead& read, const std::vector<BackendRecord>& covered, const std::string& source);
    void applyChange(const RegistryChange& change, const std::string& source);
    /// Drops the backend server of a registration that is invalid.
    void rejectRegistration(const RegistryChange& change, const std::string& source);
    void removeBackend(const BackendName& name, const std::string& source);
    void removeUnlisted(const RegistryRead& read, const std::vector<BackendRecord>& known, const std::string& source);
    void applyDueRemovals();
    bool isRegistryStale() const;
    /// Whether the list in use is that of the platform, as far as this node can know.
    bool isListCurrent() const;
    void noteIfListIsCurrent();
    std::vector<ReaderState> readerStates() const;
    /// Returns a reader whose list of backend servers differs from this node's.
    std::optional<KnownPeer> readerWithDifferentList() const;
    /// Suspends while other nodes read \p resource from the platform. After that, \p from
    /// is too old to continue from and is reset. While this node does not read, its earlier
    /// failures do not count, so \p isUnavailable is reset.
    asio::awaitable<void> waitUntilReader(std::string resource, std::optional<LogOffset>& from, std::atomic<bool>& isUnavailable);

    asio::io_context& io_;
    GatewayContext& context_;
    PeerReports& peerReports_;
    PeerPool& peers_;
    /// When the last read of the registry from the platform, by this node, began.
    std::atomic<SteadyTime> registryReadAt_ { SteadyTime {} };
    /// The latest time at which the list in use is known to have been that of the platform.
    SteadyTime listConfirmedAt_ {};
    /// Whether a reader is being asked for a newer list, to confirm this one.
    bool isConfirming_ = false;
    /// When the list in use was read from the platform, by this node or by a peer.
    SteadyTime listReadAt_ {};
    /// When the list was last found to be current, and since when it always was.
    std::atomic<SteadyTime> listCurrentAt_ { SteadyTime {} };
    std::atomic<SteadyTime> listCurrentSince_ { SteadyTime {} };
    std::atomic<bool> isRegistryUnavailable_ { false };
    std::atomic<bool> isConfigurationUnavailable_ { false };
    /// Time until which missing registrations are kept after an outage.
    SteadyTime removalGraceEnd_ {};
    TransferLimiter transfers_;
    const SteadyTime startedAt_ = steadyNow();
    const double startPhase_;
    SourceHealth sourceHealth_;
    ConfigurationFetcher fetcher_;
    /// Backend servers whose registration is missing. They are removed after
    /// removalGraceEnd_, unless they register again.
    std::set<BackendName> pendingRemovals_;
    /// Number of changes of the list that is being applied that were passed to logChange().
    std::size_t loggedChanges_ = 0;
    /// The latest error of each invalid registration.
    std::map<BackendName, std::string> registrationErrors_;
    Logger logger_ { "feed" };
};

} // namespace pistachioloom
