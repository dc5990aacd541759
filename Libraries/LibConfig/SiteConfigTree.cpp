#include <LibConfig/SiteConfigTree.h>
#include <LibConfig/SourceTree.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;
    using Names = std::vector<std::string>;

    // The tree has been validated against the schema, so a failing conversion below is a bug in the schema, not a fault
    // of the input.

    void read(const Json& tree, const char* key, int64_t& value) { value = tree.at(key).get<int64_t>(); }
    void read(const Json& tree, const char* key, int32_t& value) { value = tree.at(key).get<int32_t>(); }
    void read(const Json& tree, const char* key, double& value) { value = tree.at(key).get<double>(); }
    void read(const Json& tree, const char* key, bool& value) { value = tree.at(key).get<bool>(); }
    void read(const Json& tree, const char* key, Names& value) { value = tree.at(key).get<Names>(); }
    void read(const Json& tree, const char* key, Milliseconds& value)
    {
        value = Milliseconds(tree.at(key).get<int64_t>());
    }
    void read(const Json& tree, const char* key, PriorityClass& value)
    {
        const auto& text = tree.at(key).get_ref<const std::string&>();
        value = text == "low" ? PriorityClass::Low : text == "high" ? PriorityClass::High : PriorityClass::Normal;
    }
    void read(const Json& tree, const char* key, InsufficientCapacityRule& value)
    {
        value = tree.at(key) == "largest_that_fits" ? InsufficientCapacityRule::LargestThatFits
                                                    : InsufficientCapacityRule::Refuse;
    }
    void read(const Json& tree, const char* key, std::vector<ClientTerms>& value)
    {
        for (const auto& entry : tree.at(key))
            value.push_back({ entry.at("requests_per_second").get<int64_t>(), entry.at("concurrency").get<int64_t>() });
    }

    void write(Json& tree, const char* key, const int64_t& value) { tree[key] = value; }
    void write(Json& tree, const char* key, const int32_t& value) { tree[key] = value; }
    void write(Json& tree, const char* key, const double& value) { tree[key] = value; }
    void write(Json& tree, const char* key, const bool& value) { tree[key] = value; }
    void write(Json& tree, const char* key, const Names& value) { tree[key] = value; }
    void write(Json& tree, const char* key, const Milliseconds& value) { tree[key] = value.count(); }
    void write(Json& tree, const char* key, const PriorityClass& value)
    {
        switch (value) {
        case PriorityClass::Low:
            tree[key] = "low";
            return;
        case PriorityClass::Normal:
            tree[key] = "normal";
            return;
        case PriorityClass::High:
            tree[key] = "high";
            return;
        }
    }
    void write(Json& tree, const char* key, const InsufficientCapacityRule& value)
    {
        tree[key] = value == InsufficientCapacityRule::Refuse ? "refuse" : "largest_that_fits";
    }
    void write(Json& tree, const char* key, const std::vector<ClientTerms>& value)
    {
        auto& list = tree[key] = Json::array();
        for (const auto& terms : value)
            list.push_back(
                { { "requests_per_second", terms.requestsPerSecond }, { "concurrency", terms.concurrency } });
    }

    // Each overload below lists the keys of one section for both reading and writing.

    template <typename Field> void forEachField(RegionConfig& it, const Field& field) { field("zones", it.zones); }

    template <typename Field> void forEachField(ServiceConfig& it, const Field& field)
    {
        field("slots_per_worker", it.slotsPerWorker);
        field("connections_per_worker", it.connectionsPerWorker);
        field("timeout_ms", it.timeout);
        field("latency_target_ms", it.latencyTarget);
        field("objective_percent", it.objectivePercent);
        field("cpu_millis", it.replica.cpuMillis);
        field("memory_mb", it.replica.memoryMb);
        field("accelerators", it.replica.accelerators);
        field("replicas", it.replicas);
        field("priority", it.priority);
        field("zone_spread", it.zoneSpread);
    }

    template <typename Field> void forEachField(JobKindConfig& it, const Field& field)
    {
        field("cpu_millis", it.size.cpuMillis);
        field("memory_mb", it.size.memoryMb);
        field("accelerators", it.size.accelerators);
        field("run_ms", it.run);
        field("max_attempts", it.maxAttempts);
        field("priority", it.priority);
        field("single_run", it.singleRun);
        field("yields_to", it.yieldsTo);
        field("teams", it.teams);
    }

    template <typename Field> void forEachField(ClientConfig& it, const Field& field)
    {
        field("requests_per_second", it.terms.requestsPerSecond);
        field("concurrency", it.terms.concurrency);
        field("services", it.services);
        field("priority_class", it.priorityClass);
        field("renewals", it.renewals);
        field("on_insufficient_capacity", it.onInsufficientCapacity);
    }

    template <typename Field> void forEachField(TeamConfig& it, const Field& field)
    {
        field("weight", it.weight);
        field("quota_cpu_millis", it.quota.cpuMillis);
        field("quota_memory_mb", it.quota.memoryMb);
        field("quota_accelerators", it.quota.accelerators);
        field("may_borrow", it.mayBorrow);
        field("clients", it.clients);
    }

    template <typename Field> void forEachField(PolicyConfig& it, const Field& field)
    {
        field("headroom_percent", it.headroomPercent);
        field("interference_percent", it.interferencePercent);
        field("queue_limit", it.queueLimit);
        field("queue_timeout_ms", it.queueTimeout);
        field("retry_budget_percent", it.retryBudgetPercent);
        field("outlier_failures", it.outlierFailures);
        field("outlier_ejection_ms", it.outlierEjectionTime);
        field("outlier_max_percent", it.outlierMaxPercent);
        field("quarantine_failures", it.quarantineFailures);
        field("quarantine_probe_ms", it.quarantineProbeInterval);
        field("checkpoint_timeout_ms", it.checkpointTimeout);
        field("evictions_per_minute", it.evictionsPerMinute);
        field("recovery_starts_per_second", it.recoveryStartsPerSecond);
        field("urgent_reserve_ms", it.urgentReservationDelay);
        field("batch_reserve_ms", it.batchReservationDelay);
        field("fair_share_half_life_ms", it.fairShareHalfLife);
    }

    template <typename Entry> void readEntry(const Json& tree, Entry& entry)
    {
        forEachField(entry, [&](const char* key, auto& value) { read(tree, key, value); });
    }

    template <typename Entry> Json writeEntry(const Entry& entry)
    {
        auto tree = Json::object();
        auto copy = entry;
        forEachField(copy, [&](const char* key, const auto& value) { write(tree, key, value); });
        return tree;
    }

    template <typename Entry>
    void readSection(const Json& tree, const char* section, std::vector<Entry>& entries,
        std::set<std::string, std::less<>>& disabled)
    {
        // nlohmann::json iterates objects in the order of their keys, so the entries are sorted by name.
        for (const auto& [name, keys] : tree.at(section).items()) {
            if (keys.contains("enabled") && !keys.at("enabled").template get<bool>()) {
                disabled.insert(joinPath(section, name));
                continue;
            }
            Entry entry { .name = name };
            readEntry(keys, entry);
            entries.push_back(std::move(entry));
        }
    }

    template <typename Entry> void writeSection(Json& tree, const char* section, const std::vector<Entry>& entries)
    {
        auto& keys = tree[section] = Json::object();
        for (const auto& entry : entries)
            keys[entry.name] = writeEntry(entry);
    }

}

SiteConfig siteFromTree(const Json& tree, std::set<std::string, std::less<>>& disabled)
{
    SiteConfig config;
    readSection(tree, "regions", config.regions, disabled);
    readSection(tree, "services", config.services, disabled);
    readSection(tree, "kinds", config.kinds, disabled);
    readSection(tree, "clients", config.clients, disabled);
    readSection(tree, "teams", config.teams, disabled);
    readEntry(tree.at("policy"), config.policy);
    return config;
}

Json treeFromSite(const SiteConfig& config)
{
    auto tree = Json::object();
    writeSection(tree, "regions", config.regions);
    writeSection(tree, "services", config.services);
    writeSection(tree, "kinds", config.kinds);
    writeSection(tree, "clients", config.clients);
    writeSection(tree, "teams", config.teams);
    tree["policy"] = writeEntry(config.policy);
    return tree;
}

}
