#pragma once

#include <LibDecision/SchedulerTypes.h>
#include <string>
#include <unordered_map>

namespace Bergamot {

/// Maps ids to dense indexes. The caller assigns the indexes, so that it can reuse slots.
class IdTable {
public:
    uint32_t find(const std::string& id) const
    {
        auto it = m_indexes.find(id);
        return it == m_indexes.end() ? noIndex : it->second;
    }

    void insert(const std::string& id, uint32_t index) { m_indexes.emplace(id, index); }
    void erase(const std::string& id) { m_indexes.erase(id); }
    size_t size() const { return m_indexes.size(); }

private:
    std::unordered_map<std::string, uint32_t> m_indexes;
};

}
