#include <CppUTest/TestHarness.h>
#include <LibDecision/ListedWorkers.h>

using namespace Bergamot;
using namespace std::chrono_literals;

static constexpr Instant start { 100s };
static constexpr int64_t born { 50 };

TEST_GROUP(ListedWorkers) { ListedWorkers workers { 4s }; };

// Guards against giving up the runs of a worker that is only cut off from the platform: it is removed after its
// silence.
TEST(ListedWorkers, RemovalAfterSilenceIsNoDeparture)
{
    workers.announced("w1", born, start);
    CHECK(workers.contains("w1"));
    workers.removed("w1", start + 4s);
    CHECK_FALSE(workers.contains("w1"));
    CHECK_FALSE(workers.hasLeft("w1", born));
}

// Guards against a worker that has left and whose tasks wait until its lease has expired.
TEST(ListedWorkers, RemovalSoonAfterAnAnnouncementIsADeparture)
{
    workers.announced("w1", born, start);
    workers.announced("w1", born, start + 3s);
    workers.removed("w1", start + 5s);
    CHECK(workers.hasLeft("w1", born));
    workers.forget("w1");
    CHECK_FALSE(workers.hasLeft("w1", born));
}

// Guards against taking the time at which an announcement was read for the time at which it was written: a newly read
// list holds announcements of any age.
TEST(ListedWorkers, AnnouncementOfUnknownAgeProvesNothing)
{
    workers.announced("w1", born, start);
    workers.clear();
    CHECK_FALSE(workers.contains("w1"));
    workers.announced("w1", born, neverInstant);
    workers.removed("w1", start + 1s);
    CHECK_FALSE(workers.hasLeft("w1", born));
    workers.removed("unknown", start);
    CHECK_FALSE(workers.hasLeft("unknown", born));
}

// Guards against a departed worker that returns under its id and still counts as departed.
TEST(ListedWorkers, ReturnedWorkerIsListedAgain)
{
    workers.announced("w1", born, start);
    workers.removed("w1", start + 1s);
    workers.announced("w1", born, start + 2s);
    CHECK(workers.contains("w1"));
    CHECK_FALSE(workers.hasLeft("w1", born));
}

// Guards against giving up the runs of a new incarnation, because the former one under the same id has left.
TEST(ListedWorkers, DepartureOfOneIncarnationIsNoneOfAnother)
{
    workers.announced("w1", born, start);
    workers.removed("w1", start + 1s);
    CHECK(workers.hasLeft("w1", born));
    CHECK_FALSE(workers.hasLeft("w1", born + 10));
}
