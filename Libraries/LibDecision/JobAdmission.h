#pragma once

#include <LibCore/Time.h>
#include <LibWire/ExpectedWait.h>
#include <LibWire/JobSpec.h>
#include <LibWire/QueuePolicy.h>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// A backlog because of which a new job would end too late.
struct ServiceOverload {
    std::string image {};
    Milliseconds expectedWait { 0 };

    /// The longest wait with which the job would be accepted.
    Milliseconds maxWait { 0 };

    /// After this time the backlog is expected to be short enough, if no job is added to it.
    Milliseconds retryAfter() const { return expectedWait - maxWait; }

    bool operator==(const ServiceOverload&) const = default;
};

/// Returns the backlog because of which the job is to be refused, if there is one: the expected wait of one of its
/// best-effort steps and the critical path of the job together exceed the time in which a late result is of use. Jobs
/// that repeat or have long-running steps are never refused, because their tasks need not start now.
std::optional<ServiceOverload> overloadFor(const JobSpec&, const QueuePolicy&, const std::vector<ExpectedWait>&);

}
