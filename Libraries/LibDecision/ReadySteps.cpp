#include <LibDecision/ReadySteps.h>
#include <iterator>
#include <utility>

namespace Bergamot {

/// Overload begins with a backlog of the first time, and ends when the backlog falls below the second.
static constexpr Milliseconds overloadBacklog { 5000 };
static constexpr Milliseconds endOfOverloadBacklog { 2500 };

ReadySteps::Order ReadySteps::orderOf(const ReadyStep& step) const
{
    const auto& [priority, objectiveMs, sequence] = step.key;
    auto outlook = m_isOverloaded ? step.deadlines.outlookAt(m_unixMs) : Outlook::InTime;
    return { priority, outlook, objectiveMs, sequence };
}

std::optional<ReadySteps::Change> ReadySteps::changeOf(const Map::value_type& entry) const
{
    if (!m_isOverloaded)
        return std::nullopt;
    const auto& [order, step] = entry;
    auto time = step.deadlines.endOf(std::get<Outlook>(order));
    return time ? std::optional(Change { *time, order }) : std::nullopt;
}

void ReadySteps::add(const ReadyStep& step)
{
    auto it = m_steps.emplace(orderOf(step), step).first;
    if (auto change = changeOf(*it))
        m_changes.insert(*change);
}

void ReadySteps::reorder()
{
    auto steps = std::exchange(m_steps, {});
    m_changes.clear();
    for (const auto& [order, step] : steps)
        add(step);
}

void ReadySteps::update(int64_t unixMs, Milliseconds backlog)
{
    m_unixMs = unixMs;
    bool isOverloaded = backlog >= (m_isOverloaded ? endOfOverloadBacklog : overloadBacklog);
    if (std::exchange(m_isOverloaded, isOverloaded) != isOverloaded)
        reorder();
    while (!m_changes.empty() && m_changes.begin()->first <= unixMs) {
        auto node = m_steps.extract(m_changes.begin()->second);
        m_changes.erase(m_changes.begin());
        node.key() = orderOf(node.mapped());
        auto it = m_steps.insert(std::move(node)).position;
        if (auto change = changeOf(*it))
            m_changes.insert(*change);
    }
}

ReadySteps::Iterator ReadySteps::erase(Iterator it)
{
    if (auto change = changeOf(*it))
        m_changes.erase(*change);
    return m_steps.erase(it);
}

void ReadySteps::eraseIf(const std::function<bool(const ReadyStep&)>& predicate)
{
    for (auto it = m_steps.begin(); it != m_steps.end();)
        it = predicate(it->second) ? erase(it) : std::next(it);
}

}
