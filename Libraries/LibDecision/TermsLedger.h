#pragma once

#include <LibCore/Ids.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Bergamot {

/// Client terms that grow at each renewal, without guarantees that the workers could not keep while the zone with the
/// most slots is out.
///
/// propose() uses the plans, which come from the configuration. apply() does not: it depends only on records of the
/// region stream, so every member comes to the same terms although configuration reaches the members at different
/// times. The capacity must therefore be the one of the workers listed before the applied record.
class TermsLedger {
public:
    /// What happens when a renewal does not fit.
    enum class Overflow {
        Refuse,
        LargestThatFits,
    };

    /// What operators declare for a client.
    struct Plan {
        ClientId client {};
        int64_t requestsPerSecond { 0 };
        int64_t concurrency { 0 };
        /// Growth at each renewal, in thousandths of the terms before it, rounded up.
        int64_t growthMillis { 0 };
        int64_t maxRequestsPerSecond { 0 };
        int64_t maxConcurrency { 0 };
        bool operator==(const Plan&) const = default;
    };

    struct Terms {
        ClientId client {};
        uint32_t renewal { 0 };
        int64_t requestsPerSecond { 0 };
        /// Guaranteed concurrency.
        int64_t concurrency { 0 };
        bool operator==(const Terms&) const = default;
    };

    static absl::StatusOr<TermsLedger> create(Overflow);

    /// Declares a client or changes its plan. Terms that were granted stay.
    absl::Status setPlan(const Plan&);

    /// Sets the slots of all workers of each zone.
    absl::Status setCapacity(const std::map<ZoneId, int64_t>& slotsPerZone);

    /// The terms that the next renewal gives, to be recorded in the log. ResourceExhausted when nothing more fits.
    absl::StatusOr<Terms> propose(const ClientId&) const;

    /// Applies a recorded renewal at its log position and gives the terms in force. AlreadyExists when the position or
    /// the renewal was applied before, FailedPrecondition when a renewal is missing or the terms shrink,
    /// ResourceExhausted when they do not fit (another renewal was recorded first).
    absl::StatusOr<Terms> apply(const Terms& recorded, LogPosition);

    /// Takes over the terms of a snapshot.
    absl::Status restore(const std::vector<Terms>&, std::optional<LogPosition> lastPosition);

    absl::StatusOr<Terms> termsOf(const ClientId&) const;
    std::vector<Terms> all() const;

    /// Slots that remain when the zone with the most slots is out.
    int64_t slotsWithLargestZoneOut() const;
    int64_t guaranteed() const;

private:
    explicit TermsLedger(Overflow overflow)
        : m_overflow(overflow)
    {
    }

    int64_t heldBy(const ClientId&) const;
    int64_t roomFor(const ClientId&) const;
    absl::Status doesNotFit() const;

    Overflow m_overflow;
    std::map<ZoneId, int64_t> m_slots;
    std::map<ClientId, Plan> m_plans;
    std::map<ClientId, Terms> m_terms;
    std::optional<LogPosition> m_lastPosition;
};

}
