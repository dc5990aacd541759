#include <CppUTest/TestHarness.h>
#include <LibNode/TaskLeader.h>

using namespace Bergamot;

TEST_GROUP(TaskLeader) {};

// Guards against reports whose number grows with the workers until it takes most of the leader's processor time, and
// against a wait that workers do not grant.
TEST(TaskLeader, ReportsAreBoundOnThousandsOfWorkers)
{
    CHECK_EQUAL(500, TaskLeader::reportWaitFor(48).count());
    CHECK_EQUAL(816, TaskLeader::reportWaitFor(490).count());
    CHECK_EQUAL(1000, TaskLeader::reportWaitFor(999).count());
    CHECK_EQUAL(2000, TaskLeader::reportWaitFor(3000).count());
    CHECK_EQUAL(2000, TaskLeader::reportWaitFor(30000).count());
}
