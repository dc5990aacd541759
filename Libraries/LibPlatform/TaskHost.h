#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibDecision/RunEnd.h>
#include <LibDecision/RunReport.h>
#include <LibDecision/TaskRef.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// One life of a worker and where it is reached.
struct TaskHostAddress {
    WorkerId id {};
    std::string address {};

    bool operator==(const TaskHostAddress&) const = default;
};

struct StartOrder {
    TaskRef task {};
    uint64_t run { 0 };
    std::string payload {};
    std::string checkpoint {};

    /// End of the lease of everything on the worker, on the worker's clock.
    int64_t leaseUntilMs { 0 };
};

struct HoldOrder {
    /// Ends up to this sequence are stored and may be forgotten.
    uint64_t acknowledged { 0 };
    std::optional<int64_t> leaseUntilMs {};

    /// The answer waits this long for an end.
    Milliseconds wait { 0 };
};

enum class OrderOutcome : uint8_t {
    Accepted,
    /// The worker has seen a higher epoch.
    Fenced,
    /// A run with this number or a higher one was stopped or ended there.
    Superseded,
    /// The lease had lapsed when the order arrived.
    TooLate,
    NoRoom,
    Invalid,
    Unhealthy,
    /// Another life of the worker answers at the address.
    OtherLife
};

struct OrderAnswer {
    OrderOutcome outcome { OrderOutcome::Accepted };

    /// The worker's clock; absent in answers without a body.
    std::optional<int64_t> clockMs {};

    /// When this life of the worker began.
    int64_t bornMs { 0 };
};

struct HoldAnswer {
    OrderAnswer order {};
    std::vector<RunReport> running {};
    std::vector<RunEnd> ended {};
};

/// Orders to workers, in the name of the leader of an epoch. Calls return at once; the callback runs exactly once, on
/// the caller's event loop. After Unavailable and DeadlineExceeded the order may have been carried out, or may be
/// later.
class TaskHost {
public:
    template <typename Reply> using Callback = std::function<void(absl::StatusOr<Reply>)>;

    virtual ~TaskHost() = default;

    virtual void start(const TaskHostAddress&, uint64_t epoch, const StartOrder&, Callback<OrderAnswer>) = 0;
    virtual void stop(const TaskHostAddress&, uint64_t epoch, const TaskRef&, uint64_t run, Callback<OrderAnswer>) = 0;
    virtual void pace(
        const TaskHostAddress&, uint64_t epoch, const TaskRef&, uint64_t run, uint32_t percent, Callback<OrderAnswer>)
        = 0;

    /// Renews the lease, acknowledges ends, and lists what runs and what has ended.
    virtual void hold(const TaskHostAddress&, uint64_t epoch, const HoldOrder&, Callback<HoldAnswer>) = 0;
};

}
