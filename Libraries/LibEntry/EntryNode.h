#pragma once

#include <LibConfig/NodeSettings.h>
#include <LibConfig/SiteConfig.h>
#include <LibCore/Clock.h>
#include <LibCore/Service.h>
#include <LibEntry/BurnCollector.h>
#include <LibEntry/Dispatcher.h>
#include <LibEntry/HostListWatcher.h>
#include <LibEntry/LogStream.h>
#include <LibEntry/Membership.h>
#include <LibEntry/PauseGuard.h>
#include <LibEntry/QuickPath.h>
#include <LibEntry/RequestLedger.h>
#include <LibEntry/SchedulerDriver.h>
#include <LibEntry/SnapshotWriter.h>
#include <LibReport/BurnTracker.h>
#include <LibReport/Metrics.h>
#include <LibWire/PeerMessage.h>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace Bergamot {

/// Owns the scheduling state of one entry host and the components that work on it. Every method runs on the control
/// thread. Tests call tick() in virtual time with fake platform services.
class EntryNode {
public:
    struct Platform {
        LogService* log { nullptr };
        WorkerService* workers { nullptr };
        HostListService* hosts { nullptr };
        PeerTransport* peers { nullptr };
        const Clock* clock { nullptr };
        Executor executor {};
    };

    struct Options {
        NodeSettings settings {};

        /// Active until the first configuration is published. May be null.
        std::shared_ptr<const SiteConfig> initialConfig {};
        uint64_t incarnation { 0 };
        uint64_t seed { 1 };
        Platform platform {};
        std::vector<std::shared_ptr<HttpEngine>> engines {};
        Milliseconds readWait { 500 };
        Milliseconds snapshotInterval { 600'000 };
        uint64_t snapshotEntries { 20'000 };
    };

    static absl::StatusOr<std::unique_ptr<EntryNode>> create(Options);

    void tick(Instant now);
    void peerMessageReceived(std::string_view bytes);

    /// Requests the error budget burn of all members. The callback is called once with the merged report.
    void collectBurn(BurnCollector::Done);

    /// Makes readiness checks fail and tells peers to take over. Requests in progress continue.
    void beginShutdown();
    bool isShuttingDown() const { return m_isShuttingDown; }

    /// False after a pause of this process, until it knows that it holds the newest accepted configuration.
    bool isConfigConfirmed() const { return m_pauseGuard.isConfigConfirmed(clock().now()); }

    /// True when this host can serve requests of callers: it is not shutting down, a confirmed configuration is active,
    /// services are ready, and this host may renew leases.
    bool isReady(Instant now) const;

    LogStream& region() { return m_region; }
    LogStream& configStream() { return m_configStream; }
    Membership& membership() { return m_membership; }
    Dispatcher& dispatcher() { return m_dispatcher; }
    SchedulerDriver& scheduler() { return m_scheduler; }
    HostListWatcher& hosts() { return m_hosts; }
    QuickPath& quickPath() { return *m_quickPath; }
    RequestLedger& ledger() { return m_ledger; }
    Metrics& metrics() { return *m_metrics; }
    BurnTracker& burn() { return *m_burn; }
    const Clock& clock() const { return *m_options.platform.clock; }
    const Options& options() const { return m_options; }
    std::shared_ptr<const SiteConfig> config() const { return m_config; }

    /// The active published configuration. Its version is 0 when none has been published.
    const ConfigPublished& activeConfig() const { return m_activeConfig; }

    /// A published configuration and the log time of its publication.
    struct ConfigVersion {
        ConfigPublished config {};
        int64_t timeMs { 0 };
    };

    /// The last 20 published versions that this process has seen, oldest first.
    const std::deque<ConfigVersion>& configHistory() const { return m_configHistory; }
    const ConfigVersion* findConfigVersion(std::string_view version) const;

private:
    struct PeerMessageHandler;

    EntryNode(Options, std::unique_ptr<Metrics>, std::unique_ptr<BurnTracker>);
    LogStream::Options streamOptions(std::string name) const;
    void regionBatchApplied(const RecordBatch&, const ApplyResult&);
    void configBatchApplied(const RecordBatch&, const ApplyResult&);
    void adoptPublishedConfig(const ConfigPublished&);
    void adoptInitialConfig();
    void recordMetrics(const Record&);
    void activateConfig(std::shared_ptr<const SiteConfig>, uint64_t version);
    void updateRouting(Instant now);
    void updateLimits(Instant now);
    void exchangeShares(Instant now);
    void exchangeLoans();
    void relayToStalePeers(Instant now);
    void updateServiceReadiness(Instant now);
    void sendToMember(const MemberId&, const PeerMessage&);
    void updateMetrics(Instant now);
    std::vector<SlotTable::Member> slotMembers() const;

    Options m_options;
    std::unique_ptr<Metrics> m_metrics;
    std::unique_ptr<BurnTracker> m_burn;
    LogStream m_region;
    LogStream m_configStream;
    Membership m_membership;
    HostListWatcher m_hosts;
    Dispatcher m_dispatcher;
    SchedulerDriver m_scheduler;
    RequestLedger m_ledger;
    SnapshotWriter m_regionSnapshots;
    SnapshotWriter m_configSnapshots;
    BurnCollector m_burnCollector;
    PauseGuard m_pauseGuard;
    std::unique_ptr<QuickPath> m_quickPath;
    std::shared_ptr<const SiteConfig> m_config;
    std::deque<ConfigVersion> m_configHistory;
    ConfigPublished m_activeConfig {};
    uint64_t m_configVersion { 0 };
    Instant m_configActivatedAt { neverInstant };
    bool m_servicesReady { false };
    LogPosition m_routingPosition { 0 };
    bool m_limitsChanged { true };
    bool m_isShuttingDown { false };
    Instant m_nextPeerExchange { neverInstant };
    Instant m_nextRoutingUpdate { neverInstant };
    Instant m_nextMetricsUpdate { neverInstant };
};

}
