#pragma once

#include <LibCore/Time.h>

namespace Bergamot::Timing {

inline constexpr Milliseconds groupCommitInterval { 50 };
inline constexpr Milliseconds keepaliveInterval { 1000 };
inline constexpr Milliseconds leaderTimeout { 2000 };
inline constexpr Milliseconds rankDelay { 300 };
inline constexpr Milliseconds heartbeatInterval { 1000 };
inline constexpr Milliseconds peerTimeout { 3000 };
inline constexpr Milliseconds evidenceMaxAge { 3000 };
inline constexpr Milliseconds startLease { 2000 };
inline constexpr Milliseconds renewedLeaseDuration { 30'000 };
inline constexpr Milliseconds driftMargin { 1000 };
inline constexpr Milliseconds hostListPeriod { 1000 };

/// Renewals without a readable log end after this time, so that a lost attempt can be declared without a majority.
inline constexpr Milliseconds outageRenewalLimit { 4 * 3600 * 1000 };

/// The leader resets the membership when most voters have been silent for this long.
inline constexpr Milliseconds membershipResetDelay { 60'000 };

}
