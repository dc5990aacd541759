#pragma once

#include <LibCore/Time.h>

namespace Bergamot::Timing {

inline constexpr Milliseconds groupCommitInterval { 50 };
inline constexpr Milliseconds keepaliveInterval { 1000 };
inline constexpr Milliseconds leaderTimeout { 2000 };
inline constexpr Milliseconds claimDelayPerRank { 300 };
inline constexpr Milliseconds heartbeatInterval { 1000 };
inline constexpr Milliseconds peerTimeout { 3000 };
inline constexpr Milliseconds evidenceMaxAge { 3000 };
inline constexpr Milliseconds initialLeaseDuration { 2000 };
inline constexpr Milliseconds renewedLeaseDuration { 30'000 };
inline constexpr Milliseconds driftMargin { 1000 };
inline constexpr Milliseconds hostListPollInterval { 1000 };

/// Maximum time for which leases are renewed while the log cannot be read. It bounds the time after which an attempt
/// can be declared lost without a majority.
inline constexpr Milliseconds outageRenewalLimit { 4 * 3600 * 1000 };

/// The leader resets the membership when a majority of the voters has been unreachable for this time.
inline constexpr Milliseconds membershipResetDelay { 60'000 };

}
