#pragma once

#include <LibCore/Clock.h>
#include <LibEntry/Executor.h>
#include <LibPlatform/HostListService.h>
#include <map>
#include <memory>
#include <set>

namespace Bergamot {

/// Polls the platform's host list each second. Every member polls it, so that no quick request is routed to a leaving
/// worker even while the log cannot be read. Only the leader records changes in the log.
class HostListWatcher {
public:
    struct Options {
        HostListService* hosts { nullptr };
        const Clock* clock { nullptr };
        Executor executor {};
    };

    explicit HostListWatcher(Options options)
        : m_options(std::move(options))
    {
    }

    void tick(Instant now);

    bool hasList() const { return m_lastSuccess != neverInstant; }
    const std::map<WorkerId, HostEntry>& hosts() const { return m_hosts; }
    Instant lastSuccess() const { return m_lastSuccess; }

    /// True for a worker that is listed and not leaving. Until the first list is received, every worker counts as live.
    bool isLive(const WorkerId&) const;

private:
    void listReceived(absl::StatusOr<std::vector<HostEntry>>);

    Options m_options;
    std::map<WorkerId, HostEntry> m_hosts;
    Instant m_nextRead { neverInstant };
    Instant m_lastSuccess { neverInstant };
    bool m_isReading { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
