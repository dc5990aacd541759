#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibDecision/Timing.h>
#include <LibEntry/HostListWatcher.h>
#include <utility>

namespace Bergamot {

void HostListWatcher::tick(Instant now)
{
    if (m_isReading || now < m_nextRead)
        return;
    m_isReading = true;
    m_nextRead = now + Timing::hostListPollInterval;
    m_options.hosts->list([this, executor = m_options.executor, alive = std::weak_ptr(m_alive)](auto hosts) {
        executor([this, alive, hosts = std::move(hosts)]() mutable {
            if (!alive.expired())
                listReceived(std::move(hosts));
        });
    });
}

void HostListWatcher::listReceived(absl::StatusOr<std::vector<HostEntry>> hosts)
{
    m_isReading = false;
    if (!hosts.ok()) {
        logWarning("host_list_failed", { { "error", statusText(hosts.status()) } });
        return;
    }
    m_lastSuccess = m_options.clock->now();
    m_hosts.clear();
    for (auto& host : *hosts)
        m_hosts.emplace(host.id, std::move(host));
}

bool HostListWatcher::isLive(const WorkerId& worker) const
{
    if (!hasList())
        return true;
    auto it = m_hosts.find(worker);
    return it != m_hosts.end() && !it->second.leaving;
}

}
