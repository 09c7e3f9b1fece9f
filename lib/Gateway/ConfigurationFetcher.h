//===- lib/Gateway/ConfigurationFetcher.h - newer configurations ----------===//
///
/// \file
/// Obtains a newer configuration that other nodes report: from several peers at a time if
/// their streams are slow, or else from the platform. ConfigurationSources decides.
//===----------------------------------------------------------------------===//
#pragma once

#include "BackgroundExecutor.h"
#include "ConfigurationSources.h"
#include "PeerReports.h"
#include "Readers.h"

namespace pistachioloom {

/// Timeout of an answer from a peer. The peer composes the answer from memory. For a
/// configuration, the maximum time between two parts of the answer.
inline constexpr milliseconds peerTimeout { 500 };
/// Name of the platform as a source of changes, as opposed to the name of a peer.
inline const std::string platformSource = "platform";

/// All members must be called on the event loop.
class ConfigurationFetcher {
public:
    /// \p phase is a number in [0, 1) that differs by node.
    ConfigurationFetcher(asio::io_context& io, GatewayContext& context, PeerReports& reports, PeerPool& peers, BackgroundExecutor& background, SourceHealth& health, double phase);

    void start();
    /// Puts the last of \p sources that can be decoded in force, if it is newer. They were
    /// read from the platform, oldest first.
    asio::awaitable<void> applySources(std::vector<std::string> sources);

private:
    /// An attempt to fetch from one peer.
    struct Attempt {
        VmId vm_;
        Peer peer_;
        /// Set once the stream is open.
        std::shared_ptr<PeerStream> stream_;
        bool isAbandoned_ = false;
    };

    asio::awaitable<void> run();
    /// Starts what ConfigurationSources decides.
    void startAttempts();
    asio::awaitable<void> fetch(std::shared_ptr<Attempt> attempt);
    asio::awaitable<Result<wire::Frame>> request(std::shared_ptr<Attempt> attempt);
    /// Handles the end of \p attempt, which took the time since \p startedAt.
    void noteEnded(const Attempt& attempt, const Result<wire::Frame>& reply, SteadyTime startedAt);
    asio::awaitable<void> readPlatform();
    /// Puts the compressed configuration \p bytes, version \p version of \p vm, in force.
    asio::awaitable<void> applyCompressed(std::string bytes, std::uint64_t version, VmId vm);
    void abandonAttempts();
    /// Returns the version in force, or a newer one that is being put in force.
    std::uint64_t ownVersion() const;
    /// Returns the live peers that have a newer configuration.
    std::vector<KnownPeer> newerPeers() const;
    /// Returns whether the platform serves none of the nodes that read from it.
    bool isPlatformUnavailable() const;
    void warnIfBehind();

    asio::io_context& io_;
    GatewayContext& context_;
    PeerReports& peerReports_;
    PeerPool& peers_;
    BackgroundExecutor& background_;
    ConfigurationSources sources_;
    ReadBackoff platformBackoff_;
    std::vector<std::shared_ptr<Attempt>> attempts_;
    /// The version of a peer that is being put in force, or 0.
    std::uint64_t applyingVersion_ = 0;
    /// Number of applySources() that are running.
    int platformReadsApplied_ = 0;
    /// When the last warning was logged that a newer configuration is missing, and the
    /// pause until the next.
    SteadyTime warnedAt_ {};
    milliseconds warningPause_ {};
    Logger logger_ { "feed" };
};

} // namespace pistachioloom
