#pragma once

#include <LibPlatform/TaskExecutor.h>
#include <deque>
#include <string>
#include <utility>

namespace Bergamot {

/// Keeps the calls so that a test answers them when it wants to.
class MockTaskExecutor final : public TaskExecutor {
public:
    struct Order {
        std::string kind;
        StartTaskCommand start;
        uint64_t run { 0 };
        Milliseconds timeout { 0 };
        Callback<TaskCommandReply> answer;
        std::string address;
    };
    struct RenewLeaseCall {
        RenewLeaseRequest request;
        Callback<RenewLeaseReply> answer;
        std::string address;
        uint64_t epoch { 0 };
    };

    void start(const TaskExecutorAddress& host, const TaskCommandContext& context, const StartTaskCommand& command,
        Callback<TaskCommandReply> callback) override
    {
        orders.push_back({ .kind = "start",
            .start = command,
            .run = command.run,
            .timeout = context.timeout,
            .answer = std::move(callback),
            .address = host.address });
    }

    void stop(const TaskExecutorAddress& host, const TaskCommandContext&, const TaskRef&, uint64_t run,
        Callback<TaskCommandReply> callback) override
    {
        orders.push_back({ .kind = "stop", .run = run, .answer = std::move(callback), .address = host.address });
    }

    void throttle(const TaskExecutorAddress& host, const TaskCommandContext&, const TaskRef&, uint64_t run, uint32_t,
        Callback<TaskCommandReply> callback) override
    {
        orders.push_back({ .kind = "pace", .run = run, .answer = std::move(callback), .address = host.address });
    }

    void renewLease(const TaskExecutorAddress& host, uint64_t epoch, const RenewLeaseRequest& request,
        Callback<RenewLeaseReply> callback) override
    {
        renewLeaseCalls.push_back(
            { .request = request, .answer = std::move(callback), .address = host.address, .epoch = epoch });
    }

    Order takeOrder()
    {
        auto order = std::move(orders.front());
        orders.pop_front();
        return order;
    }

    RenewLeaseCall takeRenewLeaseCall()
    {
        auto call = std::move(renewLeaseCalls.front());
        renewLeaseCalls.pop_front();
        return call;
    }

    std::deque<Order> orders;
    std::deque<RenewLeaseCall> renewLeaseCalls;
};

}
