#include <CppUTest/TestHarness.h>
#include <LibEntry/TermsPolicy.h>

using namespace Bergamot;

TEST_GROUP(TermsPolicy)
{
    SiteConfig config;
    StateImage image;

    // Three zones with two workers of 8 slots each: 48 slots, and 32 with the largest zone out.
    void setup() override
    {
        config.services = { { .name = "token", .slotsPerWorker = 8 } };
        config.clients = {
            { .name = "a", .terms = { 10, 10 }, .renewals = { { 20, 20 }, { 30, 40 } } },
            { .name = "b", .terms = { 10, 10 }, .renewals = { { 20, 20 } } },
        };
        for (const char* id : { "w1", "w2", "w3", "w4", "w5", "w6" })
            image.workers[id].spec
                = { .worker = id, .zone = std::string(1, static_cast<char>('a' + (id[1] - '1') % 3)) };
    }

    const ClientConfig& client(std::string_view name) { return *config.findClient(name); }

    std::variant<TermsPolicy::Grant, TermsPolicy::Rejection> renew(std::string_view name, uint64_t renewal)
    {
        return TermsPolicy(config, image).renew(client(name), renewal);
    }

    void record(std::string_view name, uint64_t renewal)
    {
        auto grant = std::get<TermsPolicy::Grant>(renew(name, renewal));
        image.terms[grant.record.client] = { .current = grant.record };
        image.termsChangedAt += 5;
    }

    void checkRejected(std::string_view type, std::string_view name, uint64_t renewal)
    {
        auto result = renew(name, renewal);
        CHECK(std::holds_alternative<TermsPolicy::Rejection>(result));
        CHECK(std::get<TermsPolicy::Rejection>(result).type == type);
    }
};

// Guards against guaranteed concurrency that exceeds the remaining slots when a zone is out.
TEST(TermsPolicy, RejectsTermsThatDoNotFitWithLargestZoneOut)
{
    LONGS_EQUAL(32, TermsPolicy(config, image).slotsWithLargestZoneOut());
    record("a", 1);
    LONGS_EQUAL(30, TermsPolicy(config, image).guaranteedConcurrency());
    checkRejected("insufficient-capacity", "b", 1);
    image.workers["w7"].spec = { .worker = "w7", .zone = "a" };
    image.workers["w8"].spec = { .worker = "w8", .zone = "b" };
    record("b", 1);
}

// Guards against a renewal that takes effect twice or out of order, or that is missing in the configuration.
TEST(TermsPolicy, RejectsOutOfOrderRenewals)
{
    checkRejected("renewal-conflict", "a", 2);
    record("a", 1);
    checkRejected("renewal-conflict", "a", 1);
    checkRejected("renewal-conflict", "a", uint64_t { 1 } << 32);
    config.clients[1].renewals.clear();
    checkRejected("no-renewal-left", "b", 1);
}

// Guards against reduced terms that are below the client's current concurrency or exceed the available slots. The
// configuration grants the largest terms that fit instead of refusing the renewal.
TEST(TermsPolicy, ReducedTermsAreBetweenCurrentAndRequestedTerms)
{
    config.clients[0].onInsufficientCapacity = InsufficientCapacityRule::LargestThatFits;
    record("a", 1);
    auto grant = std::get<TermsPolicy::Grant>(renew("a", 2));
    CHECK(grant.isReduced);
    LONGS_EQUAL(22, grant.record.concurrency);
    LONGS_EQUAL(5, grant.record.basedOn);
    record("a", 2);
    image.workers.erase("w6");
    image.workers.erase("w5");
    config.clients[0].renewals.push_back({ 40, 50 });
    checkRejected("insufficient-capacity", "a", 3);
}
