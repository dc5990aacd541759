#include <CppUTest/TestHarness.h>
#include <LibDecision/OutlierDetector.h>

using namespace Bergamot;
using std::chrono::microseconds;

TEST_GROUP(OutlierDetector) { static Instant at(int ms) { return epochInstant + Milliseconds(ms);
}

static OutlierDetector makeDetector(int upstreams, const OutlierDetector::Options& options = {})
{
    auto detector = OutlierDetector::create(options);
    CHECK(detector.ok());
    std::vector<OutlierDetector::Upstream> list;
    for (int n = 0; n < upstreams; ++n)
        list.push_back({ .id = "w" + std::to_string(n), .capacity = 8 });
    CHECK(detector->setUpstreams(list, at(0)).ok());
    return std::move(*detector);
}

static bool failUntilEjected(OutlierDetector& detector, const WorkerId& id, int ms)
{
    bool ejected = false;
    for (int n = 0; n < 5; ++n)
        ejected |= detector.recordFailure(id, at(ms))->has_value();
    return ejected;
}
}
;

// Guards against an upstream that remains in use after consecutive failures, or remains ejected forever.
TEST(OutlierDetector, ConsecutiveFailuresEjectForALimitedTimeWithSlowStart)
{
    auto detector = makeDetector(10);
    for (int n = 0; n < 20; ++n) {
        CHECK(!detector.recordFailure("w1", at(0))->has_value());
        if (n % 4 == 3)
            CHECK(detector.recordSuccess("w1", microseconds(900), at(0)).ok());
    }
    CHECK(failUntilEjected(detector, "w0", 0));
    LONGS_EQUAL(0, *detector.weightMillis("w0", at(4999)));
    LONGS_EQUAL(100, *detector.weightMillis("w0", at(5000)));
    LONGS_EQUAL(550, *detector.weightMillis("w0", at(10000)));
    LONGS_EQUAL(1000, *detector.weightMillis("w0", at(15000)));
    // The second ejection is longer.
    CHECK(failUntilEjected(detector, "w0", 15000));
    LONGS_EQUAL(0, *detector.weightMillis("w0", at(24999)));
    LONGS_EQUAL(100, *detector.weightMillis("w0", at(25000)));
}

// Guards against ejections that overload the remaining upstreams.
TEST(OutlierDetector, EjectionsAreBoundedByShareAndCapacity)
{
    auto detector = makeDetector(10);
    int ejected = 0;
    for (int n = 0; n < 10; ++n)
        ejected += failUntilEjected(detector, "w" + std::to_string(n), 0);
    LONGS_EQUAL(2, ejected);
    LONGS_EQUAL(2, detector.ejected(at(0)));
    CHECK(detector.rejectedEjections() > 0);

    // At a utilisation of 85%, 9 x 8 slots have capacity for 61 requests.
    auto busy = makeDetector(10);
    CHECK(busy.recordLoad(62).ok());
    CHECK_FALSE(failUntilEjected(busy, "w0", 0));
    CHECK(busy.recordLoad(61).ok());
    CHECK(failUntilEjected(busy, "w0", 1));
    auto single = makeDetector(1);
    CHECK_FALSE(failUntilEjected(single, "w0", 0));
}

// Guards against a slow upstream that remains in use, and against ejections when all upstreams are equally slow.
TEST(OutlierDetector, LatencyIsComparedWithTheOtherUpstreams)
{
    auto detector = makeDetector(5);
    std::vector<OutlierDetector::Ejection> ejections;
    for (int interval = 0; interval < 4; ++interval) {
        for (int n = 0; n < 50; ++n) {
            const auto slow = n % 5 == 3 && interval >= 2;
            const microseconds latency(slow ? 40000 : interval == 1 ? 30000 : 10000);
            CHECK(detector.recordSuccess("w" + std::to_string(n % 5), latency, at(interval * 1000)).ok());
        }
        auto found = detector.evaluate(at(interval * 1000 + 999));
        LONGS_EQUAL(interval == 3 ? 1 : 0, found->size());
        if (!found->empty())
            STRCMP_EQUAL("w3", found->front().upstream.c_str());
    }
}

// Guards against crashes and state changes on invalid arguments.
TEST(OutlierDetector, InvalidArgumentsAreRejected)
{
    CHECK(!OutlierDetector::create({ .consecutiveFailures = 0 }).ok());
    CHECK(!OutlierDetector::create({ .slowStart = { .initialWeightMillis = 0 } }).ok());
    CHECK(!SlowStart::create({ .window = Milliseconds(0) }).ok());
    auto detector = makeDetector(2);
    CHECK(!detector.setUpstreams({ { .id = "a", .capacity = -1 } }, at(0)).ok());
    CHECK(!detector.setUpstreams({ { .id = "a" }, { .id = "a" } }, at(0)).ok());
    CHECK(!detector.recordLoad(-1).ok());
    CHECK(!detector.recordFailure("z", at(0)).ok());
    CHECK(!detector.recordSuccess("w0", microseconds(-1), at(0)).ok());
    CHECK(!detector.weightMillis("z", at(0)).ok());
    CHECK(detector.recordFailure("w0", at(10)).ok());
    CHECK(!detector.recordFailure("w0", at(9)).ok());
    CHECK(!detector.evaluate(at(9)).ok());
}
