#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>

namespace Bergamot {

/// Generates request IDs that are unique among all processes: a prefix unique to this process and a counter.
class RequestIds {
public:
    explicit RequestIds(std::string prefix)
        : m_prefix(std::move(prefix))
    {
    }

    std::string next() { return m_prefix + std::to_string(++m_lastNumber); }

private:
    std::string m_prefix;
    std::atomic<uint64_t> m_lastNumber { 0 };
};

}
