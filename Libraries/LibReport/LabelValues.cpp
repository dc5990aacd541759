#include <LibReport/LabelValues.h>
#include <bit>
#include <functional>

namespace Bergamot {

static constexpr size_t slotsPerValue = 4;

LabelValues::LabelValues(size_t capacity)
    : m_values(capacity + 1)
    , m_slots(std::bit_ceil((capacity + 1) * slotsPerValue))
{
    m_values[otherIndex] = other;
}

LabelValues::LabelValues(std::initializer_list<std::string_view> values)
    : LabelValues(values.size())
{
    for (auto value : values)
        admit(value);
}

// Returns the slot that holds the value, or the empty slot at which the value would be inserted.
size_t LabelValues::findSlot(std::string_view value) const
{
    const auto mask = m_slots.size() - 1;
    auto slot = std::hash<std::string_view> {}(value)&mask;
    while (true) {
        auto index = m_slots[slot].load(std::memory_order_acquire);
        if (index == otherIndex || m_values[index] == value)
            return slot;
        slot = (slot + 1) & mask;
    }
}

bool LabelValues::admit(std::string_view value)
{
    if (value.empty() || value.size() > maxValueBytes)
        return false;
    if (value == other)
        return true;
    std::lock_guard lock(m_mutex);
    auto& slot = m_slots[findSlot(value)];
    if (slot.load(std::memory_order_relaxed) != otherIndex)
        return true;
    if (m_usedCount == m_values.size())
        return false;
    m_values[m_usedCount] = value;
    slot.store(static_cast<uint32_t>(m_usedCount++), std::memory_order_release);
    return true;
}

size_t LabelValues::indexOf(std::string_view value) const
{
    return m_slots[findSlot(value)].load(std::memory_order_acquire);
}

}
