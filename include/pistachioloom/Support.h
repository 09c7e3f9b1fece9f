//===- pistachioloom/Support.h - ids, units, errors and utilities ----------===//
///
/// \file
/// The base of all other libraries: strong types for ids and units, the error type
/// with step and peer, clocks, hashing, compression and RCU. The header depends on
/// the standard library and Boost.Outcome only; the implementation also uses liburcu,
/// xxHash, OpenSSL, zlib and other headers of Boost, and no other library.
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

/// An identifier string with a type of its own for each kind of entity, so that the
/// compiler rejects an id of one kind where another kind is expected.
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

/// A number with a type of its own for each kind of quantity.
template <typename Tag, typename Rep = std::uint64_t>
struct Quantity {
    Rep value_ {};

    auto operator<=>(const Quantity&) const = default;
};

/// A position in one stream of the platform's log.
using LogOffset = Quantity<struct LogOffsetTag>;
using TokenCount = Quantity<struct TokenCountTag>;
using ByteCount = Quantity<struct ByteCountTag>;

/// Time since the VM started, suspensions included. The standard library's steady clock
/// excludes them: with it, a lease or a deadline that expired while the VM was suspended
/// would still seem valid afterwards, and ages would be too low.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // The name is required by the standard's Clock requirements.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

using SteadyTime = BootClock::time_point;
using std::chrono::milliseconds;

/// Returns the current time. The code that does I/O passes it to the decision functions,
/// which read no clock.
inline SteadyTime steadyNow()
{
    return BootClock::now();
}

/// Returns the total time for which the VM has been suspended since it started.
milliseconds suspendedTime();

/// Increments a counter for its own lifetime.
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

/// The kind of an error, independent of the step and peer at which it occurred.
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

/// Returns the identifier of \p code in error bodies, such as `limit_reached`.
std::string_view toString(Errc code);

/// Returns the code whose identifier is \p name, or Errc::Internal.
Errc errcFromString(std::string_view name);

/// Whether the work that failed was started. `No` guarantees to the caller that it was
/// not; only then may the work be retried.
enum class Ran {
    No,
    Unknown,
};

std::string_view toString(Ran ran);

/// A failure with the step and the peer at which it occurred.
struct Error {
    Errc code_ = Errc::Internal;
    std::string step_;
    std::string peer_;
    std::string message_;
    Ran ran_ = Ran::No;
    /// Time after which the caller may retry; 0 if the error states none.
    milliseconds retryAfter_ {};
};

/// Formats \p error as one line for logs: code, step, peer and message.
std::string describe(const Error& error);

/// A value or an Error. `value()` and `error()` assert that the result holds it; the caller
/// checks first.
template <typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

/// Compresses \p text to a zlib stream at the fastest level.
std::string compress(std::string_view text);
/// Decompresses the output of compress(). The error is Errc::Protocol if \p bytes are not
/// a complete zlib stream or the text is longer than \p maxSize.
Result<std::string> decompress(std::string_view bytes, ByteCount maxSize);

/// Returns a 64-bit hash of \p bytes that is the same on every node.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the first 64 bits of SHA-256 over \p parts. Each part is preceded by its
/// length, so that different lists of parts never hash the same bytes.
std::uint64_t digest64(std::initializer_list<std::string_view> parts);

/// Returns SHA-256 of \p bytes in lower-case hexadecimal.
std::string sha256Hex(std::string_view bytes);

/// Compares secrets in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// Creates a random UUID (version 4) from the system's entropy source.
std::string makeUuid();

/// Spreads the bits of \p value evenly (the finaliser of SplitMix64).
std::uint64_t mixBits(std::uint64_t value);

/// Returns 64 uniform random bits from a generator of the calling thread.
std::uint64_t randomBits();

/// Scales \p base by a random factor in [0.5, 1.5), so that callers with the same retry
/// delay do not retry simultaneously. \p draw is uniform over 64 bits.
milliseconds jitter(milliseconds base, std::uint64_t draw);

/// Ranks \p candidates for \p key by rendezvous hashing, best first.
std::vector<VmId> rankByRendezvous(std::string_view key, const std::vector<VmId>& candidates);

/// Returns the first element of rankByRendezvous() in linear time.
/// \returns an empty id if there are no candidates.
VmId pickByRendezvous(std::string_view key, const std::vector<VmId>& candidates);

/// Returns the position of \p candidate in the order of rankByRendezvous(), in linear time.
std::size_t rendezvousRankOf(const VmId& candidate, std::string_view key, const std::vector<VmId>& candidates);

/// A pointer that readers dereference without a lock while a writer replaces it.
///
/// Reader threads must hold an RcuThread. A value stays alive until the read section
/// ends; data that is needed for longer must be copied.
class RcuPointer {
public:
    explicit RcuPointer(std::function<void(void*)> destroy);
    ~RcuPointer();
    RcuPointer(const RcuPointer&) = delete;
    RcuPointer& operator=(const RcuPointer&) = delete;

    /// Replaces the pointer, waits until no reader uses the previous value, and destroys it.
    void publish(void* value);
    /// Calls \p section with the current pointer inside a read section.
    void read(const std::function<void(const void*)>& section) const;

private:
    void* value_ = nullptr;
    std::function<void(void*)> destroy_;
};

/// Registers the calling thread with liburcu for its own lifetime.
class RcuThread {
public:
    RcuThread();
    ~RcuThread();
    RcuThread(const RcuThread&) = delete;
    RcuThread& operator=(const RcuThread&) = delete;
};

/// A value that is read far more often than it is replaced.
template <typename T>
class RcuCell {
public:
    explicit RcuCell(T initial)
        : pointer_([](void* value) { delete static_cast<T*>(value); })
    {
        publish(std::move(initial));
    }

    /// Replaces the value and waits until no reader uses the previous one.
    void publish(T value) { pointer_.publish(new T(std::move(value))); }

    /// Calls \p section with the current value inside a read section. \p section must not
    /// block, suspend a coroutine or keep the reference.
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
