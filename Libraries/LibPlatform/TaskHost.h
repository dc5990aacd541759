#pragma once

#include <LibPlatform/HoldAnswer.h>
#include <LibPlatform/HoldOrder.h>
#include <LibPlatform/OrderContext.h>
#include <LibPlatform/StartOrder.h>
#include <LibPlatform/TaskHostAddress.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>

namespace Bergamot {

/// Orders to workers, in the name of the leader of an epoch. Calls return at once; the callback runs exactly once, on
/// the caller's event loop. After Unavailable and DeadlineExceeded the order may have been carried out, or may be
/// later.
class TaskHost {
public:
    template <typename Reply> using Callback = std::function<void(absl::StatusOr<Reply>)>;

    virtual ~TaskHost() = default;

    virtual void start(const TaskHostAddress&, const OrderContext&, const StartOrder&, Callback<OrderAnswer>) = 0;
    virtual void stop(const TaskHostAddress&, const OrderContext&, const TaskRef&, uint64_t run, Callback<OrderAnswer>)
        = 0;
    virtual void pace(const TaskHostAddress&, const OrderContext&, const TaskRef&, uint64_t run, uint32_t percent,
        Callback<OrderAnswer>)
        = 0;

    /// Renews the lease, acknowledges ends, and lists what runs and what has ended.
    virtual void hold(const TaskHostAddress&, uint64_t epoch, const HoldOrder&, Callback<HoldAnswer>) = 0;
};

}
