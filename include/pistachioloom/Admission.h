//===- pistachioloom/Admission.h - who waits and who is turned away --------===//
///
/// \file
/// Whether a stream is sent to the engine that was chosen for it, or refused at once,
/// and when its caller may return. Pure: figures come in, a decision goes out.
///
/// The load it answers: engines are asked for more than they can read. A request that
/// would begin later than its objective takes the time of an engine from those behind
/// it, which are late then too; refused at once, its caller may return while there is
/// room.
//===----------------------------------------------------------------------===//
#pragma once

#include "pistachioloom/Support.h"

#include <optional>

namespace pistachioloom {

/// What decides on one request.
struct AdmissionView {
    /// It is a stream of a model engine; other requests wait for a few milliseconds.
    bool isEngineStream_ = false;
    /// It has been sent to an engine before, or its caller has some of its events.
    bool hasStarted_ = false;
    /// Estimated wait for the requests ahead of it at the engine chosen.
    milliseconds queueWait_ {};
    /// The longest wait that its route admits; see Route::maxQueueWait_.
    milliseconds maxQueueWait_ {};
};

struct AdmissionSettings {
    /// Part of the admitted wait up to which a request is sent.
    double admittedShare_ = 1;
    /// The shortest time to return in: engines that are full have room again after a
    /// few answers.
    milliseconds minRetryAfter_ { 150 };
    /// The longest one: the strictest objectives are 400 ms, and callers wait a third
    /// of their time.
    milliseconds maxRetryAfter_ { 800 };
};

/// When the caller of a refused request may return; nullopt if it is admitted.
std::optional<milliseconds> retryAfterIfRejected(const AdmissionView& view, const AdmissionSettings& settings);

} // namespace pistachioloom
