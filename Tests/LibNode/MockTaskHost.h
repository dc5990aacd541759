#pragma once

#include <LibPlatform/TaskHost.h>
#include <deque>
#include <string>
#include <utility>

namespace Bergamot {

/// Keeps the calls so that a test answers them when it wants to.
class MockTaskHost final : public TaskHost {
public:
    struct Order {
        std::string kind;
        StartOrder start;
        uint64_t run { 0 };
        Milliseconds timeout { 0 };
        Callback<OrderAnswer> answer;
        std::string address;
    };
    struct Hold {
        HoldOrder order;
        Callback<HoldAnswer> answer;
        std::string address;
        uint64_t epoch { 0 };
    };

    void start(const TaskHostAddress& host, const OrderContext& context, const StartOrder& order,
        Callback<OrderAnswer> callback) override
    {
        orders.push_back({ .kind = "start",
            .start = order,
            .run = order.run,
            .timeout = context.timeout,
            .answer = std::move(callback),
            .address = host.address });
    }

    void stop(const TaskHostAddress& host, const OrderContext&, const TaskRef&, uint64_t run,
        Callback<OrderAnswer> callback) override
    {
        orders.push_back({ .kind = "stop", .run = run, .answer = std::move(callback), .address = host.address });
    }

    void pace(const TaskHostAddress& host, const OrderContext&, const TaskRef&, uint64_t run, uint32_t,
        Callback<OrderAnswer> callback) override
    {
        orders.push_back({ .kind = "pace", .run = run, .answer = std::move(callback), .address = host.address });
    }

    void hold(
        const TaskHostAddress& host, uint64_t epoch, const HoldOrder& order, Callback<HoldAnswer> callback) override
    {
        holds.push_back({ .order = order, .answer = std::move(callback), .address = host.address, .epoch = epoch });
    }

    Order takeOrder()
    {
        auto order = std::move(orders.front());
        orders.pop_front();
        return order;
    }

    Hold takeHold()
    {
        auto hold = std::move(holds.front());
        holds.pop_front();
        return hold;
    }

    std::deque<Order> orders;
    std::deque<Hold> holds;
};

}
