#include <CheckProperty.h>
#include <CppUTest/TestHarness.h>
#include <LibReport/BurnTracker.h>
#include <map>
#include <thread>

using namespace Bergamot;
using namespace std::chrono_literals;

static constexpr Instant start = epochInstant + 1000h;

static std::unique_ptr<BurnTracker> createTracker(size_t maxSeries = 100)
{
    const std::vector<BurnObjective> objectives {
        { .service = "a", .latencyTarget = 50ms, .objectivePercent = 99 },
        { .service = "b", .latencyTarget = 100ms, .objectivePercent = 90 },
    };
    auto tracker = BurnTracker::create({ .member = "e1", .maxSeries = maxSeries }, objectives, 3, start);
    CHECK(tracker.ok());
    return std::move(*tracker);
}

static BurnCounts sumOf(const BurnSlice& slice, const std::string& service, BurnWindow window)
{
    BurnCounts sum;
    for (const auto& series : slice.series) {
        if (series.key.service == service)
            sum += countsOf(series.windows, window);
    }
    return sum;
}

TEST_GROUP(BurnTracker) {};

// Guards against expired counts that remain in a reused bucket when the ring wraps around or time jumps.
TEST(BurnTracker, RingMatchesReferenceMap)
{
    checkProperty("the ring agrees with a map of all buckets", [] {
        const auto size = *rc::gen::inRange<int64_t>(1, 6);
        BurnRing ring(static_cast<size_t>(size));
        std::map<int64_t, BurnCounts> referenceCounts;
        int64_t newest = -1;
        for (const auto& [bucket, good] : *rc::gen::container<std::vector<std::pair<int64_t, bool>>>(
                 rc::gen::pair(rc::gen::inRange<int64_t>(-1, 20), rc::gen::arbitrary<bool>()))) {
            const bool valid = bucket >= 0 && bucket > newest - size;
            RC_ASSERT(ring.add(bucket, good) == valid);
            if (valid)
                ++(good ? referenceCounts[bucket].good : referenceCounts[bucket].bad);
            newest = std::max(newest, bucket);
        }
        const auto first = *rc::gen::inRange<int64_t>(-3, 22);
        const auto last = *rc::gen::inRange<int64_t>(-3, 22);
        BurnCounts expected;
        for (const auto& [bucket, counts] : referenceCounts) {
            if (bucket > newest - size && bucket >= first && bucket <= last)
                expected += counts;
        }
        RC_ASSERT((ring.sum(first, last) == expected));
    });
}

// Guards against classifying requests by the latency target of another service, and against counting failures as good.
TEST(BurnTracker, GoodRequestsSucceedWithinTheLatencyTarget)
{
    auto tracker = createTracker();
    CHECK(tracker->record("a", "c", "z", true, 50ms, start).ok());
    CHECK(tracker->record("a", "c", "z", true, 50'001us, start).ok());
    CHECK(tracker->record("a", "c", "z", false, 1ms, start).ok());
    CHECK(tracker->record("b", "c", "z", true, 100ms, start).ok());
    const auto slice = tracker->slice(start);
    CHECK((sumOf(slice, "a", BurnWindow::FiveMinutes) == BurnCounts { 1, 2 }));
    CHECK((sumOf(slice, "b", BurnWindow::TwentyEightDays) == BurnCounts { 1, 0 }));
}

// Guards against windows of the wrong length and against counts that remain in a window after they expire.
TEST(BurnTracker, RequestsExpireFromWindowsInOrder)
{
    auto tracker = createTracker();
    CHECK(tracker->record("a", "c", "z", false, 1ms, start).ok());
    const std::pair<std::chrono::minutes, std::array<uint64_t, burnWindowCount>> expected[] = {
        { 4min, { 1, 1, 1, 1, 1 } },
        { 5min, { 0, 1, 1, 1, 1 } },
        { 59min, { 0, 1, 1, 1, 1 } },
        { 60min, { 0, 0, 1, 1, 1 } },
        { 359min, { 0, 0, 1, 1, 1 } },
        { 360min, { 0, 0, 0, 1, 1 } },
        { 72h - 1min, { 0, 0, 0, 1, 1 } },
        { 72h, { 0, 0, 0, 0, 1 } },
        { 28 * 24h - 1min, { 0, 0, 0, 0, 1 } },
        { 28 * 24h, { 0, 0, 0, 0, 0 } },
    };
    for (const auto& [age, bad] : expected) {
        const auto slice = tracker->slice(start + age);
        for (size_t i = 0; i < burnWindowCount; ++i)
            UNSIGNED_LONGS_EQUAL(bad[i], slice.series.at(0).windows[i].bad);
        LONGS_EQUAL(age.count(), slice.coverageMinutes);
    }
    const auto trend = tracker->slice(start + 7min).trends.at(0);
    UNSIGNED_LONGS_EQUAL(1, trend.recent[BurnTrend::recentCount - 2].bad);
    UNSIGNED_LONGS_EQUAL(1, trend.daily.back().bad);
    UNSIGNED_LONGS_EQUAL(1, tracker->slice(start + 25h).trends.at(0).daily[BurnTrend::dailyCount - 2].bad);
    LONGS_EQUAL(28 * 24 * 60, tracker->slice(start + 2000h).coverageMinutes);
}

// Guards against invalid input that is accepted or changes the counts or objectives.
TEST(BurnTracker, InvalidInputIsRejected)
{
    auto tracker = createTracker();
    CHECK(tracker->record("a", "c", "z", true, 1ms, start + 10h).ok());
    const auto before = tracker->slice(start + 10h);
    const auto recordStatusCode = [&](std::string_view service, std::chrono::microseconds latency, Instant now) {
        return tracker->record(service, "c", "z", true, latency, now).code();
    };
    CHECK(recordStatusCode("unknown", 1ms, start) == absl::StatusCode::kNotFound);
    CHECK(recordStatusCode("a", -1us, start) == absl::StatusCode::kInvalidArgument);
    CHECK(recordStatusCode("a", 1ms, epochInstant - 1ms) == absl::StatusCode::kInvalidArgument);
    CHECK(recordStatusCode("a", 1ms, start) == absl::StatusCode::kOutOfRange);
    const BurnObjective valid { .service = "a", .latencyTarget = 1ms, .objectivePercent = 50 };
    for (double percent : { 0.0, 100.0, -1.0, std::numeric_limits<double>::quiet_NaN() })
        CHECK_FALSE(
            tracker->setObjectives({ { .service = "a", .latencyTarget = 1ms, .objectivePercent = percent } }, 4).ok());
    CHECK_FALSE(tracker->setObjectives({ valid, valid }, 4).ok());
    CHECK_FALSE(tracker->setObjectives(std::vector(65, valid), 4).ok());
    CHECK(tracker->slice(start + 10h) == before);
    CHECK_FALSE(BurnTracker::create({}, { valid }, 1, start).ok());
}

// Guards against memory use that grows with the names that callers send, and against sums that omit requests above the
// series limit.
TEST(BurnTracker, ExcessSeriesCountAsOther)
{
    auto tracker = createTracker(10);
    const std::string longName(1000, 'x');
    for (int i = 0; i < 500; ++i) {
        const auto client = i % 2 ? longName : "c" + std::to_string(i);
        CHECK(tracker->record(i % 3 ? "a" : "b", client, "z" + std::to_string(i % 40), true, 1ms, start).ok());
    }
    const auto slice = tracker->slice(start);
    CHECK(slice.series.size() <= 12);
    const auto total = sumOf(slice, "a", BurnWindow::OneHour).total() + sumOf(slice, "b", BurnWindow::OneHour).total();
    UNSIGNED_LONGS_EQUAL(500, total);
    CHECK(std::ranges::none_of(slice.series, [&](const auto& it) { return it.key.client == longName; }));
    // Series without requests for 28 days are removed when a new client needs a series.
    CHECK(tracker->record("a", "new", "z", true, 1ms, start + 28 * 24h).ok());
    const auto later = tracker->slice(start + 28 * 24h);
    UNSIGNED_LONGS_EQUAL(1, later.series.size());
    STRCMP_EQUAL("new", later.series[0].key.client.c_str());
}

// Guards against counts that are lost when the configuration changes, and against counts of removed services that
// remain.
TEST(BurnTracker, NewObjectivesKeepCountsOfRetainedServices)
{
    auto tracker = createTracker();
    CHECK(tracker->record("a", "c", "z", true, 1ms, start).ok());
    CHECK(tracker->record("b", "c", "z", true, 1ms, start).ok());
    CHECK(tracker->setObjectives({ { .service = "a", .latencyTarget = 9ms, .objectivePercent = 95 } }, 4).ok());
    const auto slice = tracker->slice(start);
    UNSIGNED_LONGS_EQUAL(4, slice.configVersion);
    UNSIGNED_LONGS_EQUAL(1, slice.objectives.size());
    UNSIGNED_LONGS_EQUAL(1, sumOf(slice, "a", BurnWindow::OneHour).good);
    UNSIGNED_LONGS_EQUAL(0, sumOf(slice, "b", BurnWindow::OneHour).total());
}

// Guards against lost counts and against data races when a slice iterates over the series while requests are recorded.
TEST(BurnTracker, ConcurrentRecordsDuringSliceAreCounted)
{
    auto tracker = createTracker();
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&, t] {
                for (int i = 0; i < 2000; ++i)
                    (void)tracker->record("a", "c" + std::to_string(i % 30), std::to_string(t), true, 1ms, start);
            });
        }
        for (int i = 0; i < 20; ++i)
            CHECK(sumOf(tracker->slice(start), "a", BurnWindow::OneHour).total() <= 8000);
    }
    UNSIGNED_LONGS_EQUAL(8000, sumOf(tracker->slice(start), "a", BurnWindow::OneHour).good);
}
