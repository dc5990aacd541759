#include <LibDecision/EndedJobs.h>
#include <algorithm>
#include <charconv>
#include <utility>

namespace Bergamot {

std::optional<uint64_t> EndedJobs::compactId(const JobId& id)
{
    constexpr size_t digits = 16;
    constexpr int base = 16;
    bool isCompact = id.size() == digits
        && std::ranges::all_of(id, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    if (!isCompact)
        return std::nullopt;
    uint64_t value = 0;
    std::from_chars(id.data(), id.data() + id.size(), value, base);
    return value;
}

void EndedJobs::set(const JobId& id, Entry entry)
{
    if (auto compact = compactId(id))
        m_compact.insert_or_assign(*compact, entry);
    else
        m_others.insert_or_assign(id, entry);
}

const EndedJobs::Entry* EndedJobs::find(const JobId& id) const
{
    if (auto compact = compactId(id)) {
        auto it = m_compact.find(*compact);
        return it == m_compact.end() ? nullptr : &it->second;
    }
    auto it = m_others.find(id);
    return it == m_others.end() ? nullptr : &it->second;
}

EndedJobs::Entry* EndedJobs::find(const JobId& id) { return const_cast<Entry*>(std::as_const(*this).find(id)); }

}
