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

/// Queue-delay admission of quick requests with priority classes and a bounded queue.
///
/// A request is refused at once when the queue ahead of it would take longer than the target queue delay or would make
/// it miss its deadline. The wait is estimated as (requests ahead) x (mean service time) / (slots). Not thread-safe.
class Admission {
public:
    struct Options {
        int64_t maxQueued { 1024 };
        /// Longest estimated wait of an admitted request.
        Milliseconds targetDelay { 20 };
        /// Service time assumed before the first completion.
        Milliseconds initialService { 10 };
        /// Share of the target delay that each class may fill, in thousandths, Critical first. A lower share sheds the
        /// class earlier.
        std::array<int64_t, priorityCount> delayShareMillis { 1000, 700, 300 };
    };

    struct Request {
        uint64_t id { 0 };
        Priority priority { Priority::Normal };
        Instant deadline {};
    };

    enum class Verdict {
        Start,
        Queue,
        Refuse,
    };

    enum class Reason {
        None,
        Deadline,
        Delay,
        QueueFull,
        Displaced,
    };

    struct Refusal {
        uint64_t id { 0 };
        Reason reason { Reason::None };
        bool operator==(const Refusal&) const = default;
    };

    struct Decision {
        Verdict verdict { Verdict::Refuse };
        Reason reason { Reason::None };
        /// For a refusal: when a retry has a chance.
        Milliseconds retryAfter { 0 };
        /// A queued request of a lower class that was displaced; it did not run.
        std::optional<Refusal> displaced {};
    };

    /// Requests that start now, and queued requests that are refused because their deadline cannot be met any more.
    struct Batch {
        std::vector<uint64_t> started {};
        std::vector<Refusal> refused {};
    };

    static absl::StatusOr<Admission> create(Options);

    /// Sets how many requests may run at once (own and borrowed slots, free and in use).
    absl::Status setSlots(int64_t slots);

    /// Decides on a new request. AlreadyExists for an id that is queued or runs.
    absl::StatusOr<Decision> offer(const Request&, Instant now);

    /// Starts queued requests while slots are free.
    absl::StatusOr<Batch> take(Instant now);

    /// Ends a running request and learns its service time. NotFound for an id that does not run.
    absl::Status finish(uint64_t id, std::chrono::microseconds service, Instant now);

    /// Puts a request that could not start (no slot after all) back to the head of its class.
    absl::Status putBack(uint64_t id, Instant now);

    /// Removes a queued request that its caller gave up. NotFound when it is not queued.
    absl::Status cancel(uint64_t id);

    int64_t queued() const { return m_queued; }
    int64_t running() const { return static_cast<int64_t>(m_running.size()); }
    /// Estimated wait of a new request of a class.
    std::chrono::microseconds estimatedWait(Priority) const;
    std::chrono::microseconds meanService() const;

private:
    explicit Admission(Options);
    absl::Status advance(Instant now);
    int64_t queuedAhead(Priority) const;
    std::optional<Refusal> displaceBelow(Priority);
    Decision refuse(Reason, Priority) const;
    bool canMeet(Instant deadline, std::chrono::microseconds wait, Instant now) const;

    Options m_options;
    Instant m_now {};
    int64_t m_slots { 0 };
    int64_t m_queued { 0 };
    double m_serviceMicros { 0 };
    std::array<std::deque<Request>, priorityCount> m_queues;
    std::unordered_map<uint64_t, Request> m_running;
    std::unordered_map<uint64_t, Priority> m_waiting;
};

}
