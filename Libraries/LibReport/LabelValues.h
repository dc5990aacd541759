#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Bounded set of the values of one metric label. Every value that was not admitted maps to "other", so that names sent
/// by callers cannot increase the number of series. Values are never removed, because a monitoring system reads a
/// counter that disappears and reappears as a process restart. Lookups take no lock and may run concurrently with
/// admit().
class LabelValues {
public:
    static constexpr std::string_view other = "other";
    static constexpr size_t otherIndex = 0;
    /// Longer values are not admitted, because they would dominate the size of each metrics exposition.
    static constexpr size_t maxValueBytes = 128;

    /// `capacity` is the maximum number of values, not counting "other".
    explicit LabelValues(size_t capacity);
    LabelValues(std::initializer_list<std::string_view> values);

    /// Adds a value. Returns false when the value is empty or too long, or when the set is full, and true for a value
    /// that is already in the set.
    bool admit(std::string_view);

    /// Returns the index of an admitted value, in [1, count()), or otherIndex for any other value.
    size_t indexOf(std::string_view) const;

    /// Returns the value at an index that indexOf() returned.
    const std::string& valueAt(size_t index) const { return m_values[index]; }

    /// Number of indices at full capacity, including the index of "other".
    size_t count() const { return m_values.size(); }

private:
    size_t findSlot(std::string_view) const;

    std::mutex m_mutex;
    std::vector<std::string> m_values;
    size_t m_usedCount { 1 };
    // Hash table with open addressing. A slot holds an index of m_values, or 0 when it is empty. At most a quarter of
    // the slots are in use.
    std::vector<std::atomic<uint32_t>> m_slots;
};

}
