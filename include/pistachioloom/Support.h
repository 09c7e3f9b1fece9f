//===- pistachioloom/Support.h - ids, units, errors and small helpers ------===//
///
/// \file
/// What every other library relies on: strong types for ids and units, the
/// error type that carries step and peer, and a few pure helpers. It relies on
/// the standard library, Boost.Outcome, liburcu and xxHash only.
//===----------------------------------------------------------------------===//
#pragma once

#include <atomic>
#include <boost/outcome/result.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace pistachioloom {

/// A string that names one kind of thing, so that two kinds cannot be swapped.
template <typename Tag>
struct Id {
    std::string value_;

    auto operator<=>(const Id&) const = default;
    bool isEmpty() const { return value_.empty(); }
};

using VmId = Id<struct VmIdTag>;
using RegionId = Id<struct RegionIdTag>;
using DataCentreId = Id<struct DataCentreIdTag>;
using OrganisationId = Id<struct OrganisationIdTag>;
using EntryName = Id<struct EntryNameTag>;
using RequestId = Id<struct RequestIdTag>;
using AttemptId = Id<struct AttemptIdTag>;
using EditId = Id<struct EditIdTag>;
using ModelName = Id<struct ModelNameTag>;
using ServiceName = Id<struct ServiceNameTag>;
using IdempotencyKey = Id<struct IdempotencyKeyTag>;

/// A number that measures one kind of quantity.
template <typename Tag, typename Rep = std::uint64_t>
struct Quantity {
    Rep value_ {};

    auto operator<=>(const Quantity&) const = default;
};

/// A position on one stream of the platform's log.
using LogOffset = Quantity<struct LogOffsetTag>;
using TokenCount = Quantity<struct TokenCountTag>;
using ByteCount = Quantity<struct ByteCountTag>;

/// Time since the VM started, its suspensions included. The standard library's steady
/// clock leaves them out: by it a lease, an age or a deadline that ran out while the VM
/// was suspended would still hold after it.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // The standard's requirements on clocks name it.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

using SteadyTime = BootClock::time_point;
using std::chrono::milliseconds;

/// The time that drivers pass to the pure decisions.
inline SteadyTime steadyNow()
{
    return BootClock::now();
}

/// How long the VM has been suspended since it started.
milliseconds suspendedTime();

/// Counts what is going on: one more while it lives.
class CountGuard {
public:
    explicit CountGuard(std::atomic<std::size_t>& count)
        : count_(count)
    {
        ++count_;
    }
    ~CountGuard() { --count_; }
    CountGuard(const CountGuard&) = delete;
    CountGuard& operator=(const CountGuard&) = delete;

private:
    std::atomic<std::size_t>& count_;
};

/// What an error means, apart from where it arose.
enum class Errc {
    InvalidInput = 1,
    Unauthorised,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    TooLarge,
    Conflict,
    KeyReused,
    OutcomeUnknown,
    LimitReached,
    Overloaded,
    Leaving,
    Unavailable,
    Timeout,
    Reset,
    Cancelled,
    Protocol,
    Internal,
};

std::error_code make_error_code(Errc code);

/// The identifier of \p code in error bodies, such as `limit_reached`.
std::string_view toString(Errc code);

/// Finds the code that toString() names \p name, or Errc::Internal.
Errc errcFromString(std::string_view name);

/// Whether the work an error speaks of was started.
/// `No` is a promise to the caller; only a `No` may be retried.
enum class Ran {
    No,
    Unknown,
};

std::string_view toString(Ran ran);

/// A failure with the step and the peer at which it arose.
struct Error {
    Errc code_ = Errc::Internal;
    std::string step_;
    std::string peer_;
    std::string message_;
    Ran ran_ = Ran::No;
    milliseconds retryAfter_ {};
};

/// One line for logs: code, step, peer, message.
std::string describe(const Error& error);

/// A value or an Error; `value()` and `error()` assert what was tested before.
template <typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

/// \p text as a zlib stream, at the speed that costs least time.
std::string compress(std::string_view text);
/// What compress() made \p bytes of. Errc::Protocol if it is no whole stream, or holds
/// more than \p maxSize.
Result<std::string> decompress(std::string_view bytes, ByteCount maxSize);

/// 64-bit hash of \p bytes, the same on every node.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// The first 64 bits of SHA-256 over \p parts, each preceded by its length, so that no
/// two lists of parts are the same bytes.
std::uint64_t digest64(std::initializer_list<std::string_view> parts);

/// SHA-256 of \p bytes in lower-case hexadecimal.
std::string sha256Hex(std::string_view bytes);

/// Compares secrets in a time that depends on their lengths only.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// A random UUID (version 4) from the system's entropy.
std::string makeUuid();

/// Uniform random bits, one generator per thread.
std::uint64_t randomBits();

/// Scales \p base by a factor drawn from [0.5, 1.5), so that callers told the
/// same delay do not come back together. \p draw is uniform over 64 bits.
milliseconds jitter(milliseconds base, std::uint64_t draw);

/// Ranks \p candidates for \p key by rendezvous hashing, best first.
std::vector<VmId> rankByRendezvous(std::string_view key, const std::vector<VmId>& candidates);

/// The best of rankByRendezvous(), without ranking the rest.
/// \returns an empty id for no candidates.
VmId pickByRendezvous(std::string_view key, const std::vector<VmId>& candidates);

/// A pointer that readers follow without a lock while a writer replaces it.
///
/// Readers are threads that entered through RcuThread. The value a reader sees
/// stays alive until its read section ends; copy out what outlives it.
class RcuPointer {
public:
    explicit RcuPointer(std::function<void(void*)> destroy);
    ~RcuPointer();
    RcuPointer(const RcuPointer&) = delete;
    RcuPointer& operator=(const RcuPointer&) = delete;

    void publish(void* value);
    void read(const std::function<void(const void*)>& section) const;

private:
    void* value_ = nullptr;
    std::function<void(void*)> destroy_;
};

/// Registers the calling thread with liburcu while it lives.
class RcuThread {
public:
    RcuThread();
    ~RcuThread();
    RcuThread(const RcuThread&) = delete;
    RcuThread& operator=(const RcuThread&) = delete;
};

/// A value read far more often than it is replaced.
template <typename T>
class RcuCell {
public:
    explicit RcuCell(T initial)
        : pointer_([](void* value) { delete static_cast<T*>(value); })
    {
        publish(std::move(initial));
    }

    /// Replaces the value; waits until no reader holds the one before.
    void publish(T value) { pointer_.publish(new T(std::move(value))); }

    /// Calls \p section with the current value inside a read section, which
    /// must not block, suspend or keep the reference.
    template <typename Section>
    auto read(Section&& section) const
    {
        using Outcome = std::invoke_result_t<Section, const T&>;
        if constexpr (std::is_void_v<Outcome>) {
            pointer_.read([&](const void* value) { section(*static_cast<const T*>(value)); });
        } else {
            Outcome outcome {};
            pointer_.read([&](const void* value) { outcome = section(*static_cast<const T*>(value)); });
            return outcome;
        }
    }

private:
    RcuPointer pointer_;
};

} // namespace pistachioloom

template <typename Tag>
struct std::hash<pistachioloom::Id<Tag>> {
    std::size_t operator()(const pistachioloom::Id<Tag>& id) const noexcept { return std::hash<std::string> {}(id.value_); }
};

template <>
struct std::is_error_code_enum<pistachioloom::Errc> : std::true_type {
};
