#pragma once

#include <LibCore/Time.h>
#include <LibDecision/Priority.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Bergamot {

/// Admission control of quick requests by queueing delay, with priority classes and a bounded queue.
///
/// A request is rejected on arrival when its estimated wait exceeds the target queue delay or makes it miss its
/// deadline. The wait is estimated as (requests ahead) x (mean service time) / (slots). Not thread-safe.
class Admission {
public:
    struct Options {
        int64_t maxQueued { 1024 };
        /// Maximum estimated wait of an admitted request.
        Milliseconds targetQueueDelay { 20 };
        /// Service time assumed before the first completion.
        Milliseconds initialServiceTime { 10 };
        /// Maximum estimated wait of each priority class as a share of the target queue delay, in thousandths, in the
        /// order of Priority. A class with a lower share is shed earlier.
        std::array<int64_t, priorityCount> delayShareMillis { 1000, 700, 300 };
    };

    struct Request {
        uint64_t id { 0 };
        Priority priority { Priority::Normal };
        Instant deadline {};
    };

    enum class Outcome {
        Start,
        Queue,
        Reject,
    };

    enum class Reason {
        None,
        Deadline,
        Delay,
        QueueFull,
        Displaced,
    };

    struct RejectedRequest {
        uint64_t id { 0 };
        Reason reason { Reason::None };
        bool operator==(const RejectedRequest&) const = default;
    };

    struct Decision {
        Outcome outcome { Outcome::Reject };
        Reason reason { Reason::None };
        /// For a rejected request: the estimated wait after which a retry may be admitted.
        Milliseconds retryAfter { 0 };
        /// A queued request of a lower priority class that was removed to make room; it did not run.
        std::optional<RejectedRequest> displaced {};
    };

    /// Requests to start now, and queued requests that are rejected because they can no longer meet their deadline.
    struct QueueResult {
        std::vector<uint64_t> started {};
        std::vector<RejectedRequest> rejected {};
    };

    static absl::StatusOr<Admission> create(Options);

    /// Sets the maximum number of concurrent requests: own and borrowed slots, free or in use.
    absl::Status setSlots(int64_t slots);

    /// Starts, queues or rejects a new request. Returns AlreadyExists for an id that is queued or running.
    absl::StatusOr<Decision> offer(const Request&, Instant now);

    /// Starts queued requests in priority order while slots are free.
    absl::StatusOr<QueueResult> startQueued(Instant now);

    /// Ends a running request and adds its service time to the mean. Returns NotFound for an id that is not running.
    absl::Status finish(uint64_t id, std::chrono::microseconds serviceTime, Instant now);

    /// Moves a request that found no usable slot from running back to the head of the queue of its class. Returns
    /// NotFound for an id that is not running.
    absl::Status requeue(uint64_t id, Instant now);

    /// Removes a queued request that its caller has cancelled. Returns NotFound for an id that is not queued.
    absl::Status cancel(uint64_t id);

    int64_t queued() const { return m_queued; }
    int64_t running() const { return static_cast<int64_t>(m_running.size()); }
    /// Estimated queueing delay of a new request of the priority class.
    std::chrono::microseconds estimatedWait(Priority) const;
    std::chrono::microseconds meanServiceTime() const;

private:
    explicit Admission(Options);
    absl::Status advance(Instant now);
    int64_t countQueuedAhead(Priority) const;
    std::optional<RejectedRequest> displaceLowerClass(Priority);
    Decision reject(Reason, Priority) const;
    bool canMeetDeadline(Instant deadline, std::chrono::microseconds wait, Instant now) const;

    Options m_options;
    Instant m_now {};
    int64_t m_slots { 0 };
    int64_t m_queued { 0 };
    double m_meanServiceMicros { 0 };
    std::array<std::deque<Request>, priorityCount> m_queues;
    std::unordered_map<uint64_t, Request> m_running;
    std::unordered_map<uint64_t, Priority> m_queuedPriorities;
};

}
