#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace Bergamot {

/// The latest elections that this node has read from the leadership stream without a gap, with the local times at which
/// it learned of them. An election precedes that time, so whatever ended with the election had ended by then.
class ElectionHistory {
public:
    /// An epoch that is already known keeps its time.
    void add(uint64_t epoch, Instant learnedAt);

    /// Must be called when the node may have missed elections.
    void clear() { m_learnedAt.clear(); }

    /// Epoch of the election directly before that of `epoch`; nullopt if it is unknown.
    std::optional<uint64_t> predecessorOf(uint64_t epoch) const;

    /// When this node first learned of an election with this epoch or a later one; nullopt if it knows of none.
    std::optional<Instant> learnedAt(uint64_t epoch) const;

private:
    static constexpr size_t maxElections { 64 };

    std::map<uint64_t, Instant> m_learnedAt;
};

}
