#pragma once

#include <LibWire/OccurrenceRange.h>
#include <cstdint>
#include <map>
#include <vector>

namespace Bergamot {

/// Numbers of occurrences, stored as ranges.
class OccurrenceSet {
public:
    void add(OccurrenceRange);
    bool contains(uint32_t number) const { return firstMissingFrom(number) != number; }

    /// Returns the lowest number from this one on that is not in the set.
    uint32_t firstMissingFrom(uint32_t number) const;

    /// Returns the number after the highest one in the set, or 0.
    uint32_t end() const { return m_ranges.empty() ? 0 : m_ranges.rbegin()->second; }
    uint32_t size() const { return m_size; }
    std::vector<OccurrenceRange> ranges() const;

private:
    /// The first number of each range, and the one after its last.
    std::map<uint32_t, uint32_t> m_ranges;
    uint32_t m_size { 0 };
};

}
