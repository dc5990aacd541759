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

/// The values that one label may take. Every value that was not admitted maps to "other", so that names sent by
/// callers cannot grow the number of series. Values are never removed, because a counter that vanishes and returns
/// reads as a restart. Lookups take no lock and may run in parallel with admit().
class LabelValues {
public:
    static constexpr std::string_view other = "other";
    static constexpr size_t otherIndex = 0;
    /// Longer values are not admitted; they would dominate the size of each exposition.
    static constexpr size_t maxValueBytes = 128;

    /// `capacity` is the number of values beside "other".
    explicit LabelValues(size_t capacity);
    LabelValues(std::initializer_list<std::string_view> values);

    /// Returns false when the value is empty or too long, or when the set is full. Admitting a value twice is harmless.
    bool admit(std::string_view);

    /// Index of an admitted value in [1, count()), or otherIndex.
    size_t indexOf(std::string_view) const;

    /// The value at an index that indexOf() returned.
    const std::string& valueAt(size_t index) const { return m_values[index]; }

    /// Number of indices, including the one of "other".
    size_t count() const { return m_values.size(); }

private:
    size_t slotOf(std::string_view) const;

    std::mutex m_mutex;
    std::vector<std::string> m_values;
    size_t m_used { 1 };
    // Open addressing; a slot holds an index of m_values, or 0 when it is empty. At most a quarter is in use.
    std::vector<std::atomic<uint32_t>> m_slots;
};

}
