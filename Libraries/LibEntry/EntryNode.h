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

/// All scheduling state of one entry host and the services that work on it. Every method runs on the control thread;
/// tests call tick() in virtual time with fakes of the platform.
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

        /// In force until the first configuration is published; may be null.
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

    /// Asks all members for their burn figures; `done` is called once with the merged report.
    void collectBurn(BurnCollector::Done);

    /// From here on readiness fails and peers take over; requests in progress go on.
    void beginShutdown();
    bool isShuttingDown() const { return m_shuttingDown; }

    /// True when callers' requests can be served: a configuration is in force and this host has authority.
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

    /// The published configuration in force; version 0 when none is.
    const ConfigPublished& configInForce() const { return m_configInForce; }

    /// A configuration that was in force, and the log time of its publication.
    struct ConfigVersion {
        ConfigPublished config {};
        int64_t timeMs { 0 };
    };

    /// The last versions that this process has seen, oldest first.
    const std::deque<ConfigVersion>& configHistory() const { return m_configHistory; }
    const ConfigVersion* findConfigVersion(std::string_view version) const;

private:
    struct PeerMessageHandler;

    EntryNode(Options, std::unique_ptr<Metrics>, std::unique_ptr<BurnTracker>);
    LogStream::Options streamOptions(std::string name) const;
    void regionBatchApplied(const RecordBatch&, const ApplyResult&);
    void configBatchApplied(const RecordBatch&, const ApplyResult&);
    void adoptConfig(const ConfigPublished&);
    void adoptInitialConfig();
    void recordMetrics(const Record&);
    void putInForce(std::shared_ptr<const SiteConfig>, uint64_t version);
    void updateRouting(Instant now);
    void updateLimits(Instant now);
    void exchangeShares(Instant now);
    void exchangeLoans();
    void relayToStalePeers(Instant now);
    void noteServiceReadiness(Instant now);
    void sendTo(const MemberId&, const PeerMessage&);
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
    std::unique_ptr<QuickPath> m_quickPath;
    std::shared_ptr<const SiteConfig> m_config;
    std::deque<ConfigVersion> m_configHistory;
    ConfigPublished m_configInForce {};
    uint64_t m_configVersion { 0 };
    Instant m_configuredAt { neverInstant };
    bool m_servicesReady { false };
    LogPosition m_routedPosition { 0 };
    bool m_limitsChanged { true };
    bool m_shuttingDown { false };
    Instant m_nextExchange { neverInstant };
    Instant m_nextRouting { neverInstant };
    Instant m_nextMetrics { neverInstant };
};

}
