#include "NodeFixture.h"
#include <LibHttp/HttpResponder.h>
#include <vector>

using namespace Bergamot;

static constexpr const char* id = "0123456789abcdef";

TEST_GROUP_BASE(NodeDrain, NodeFixture)
{
    std::vector<int> statuses;

    /// A request of a caller that waits for a long time.
    void request(const std::string& method)
    {
        node->handle({ .method = method,
                         .path = std::string("/b/") + id,
                         .headers = { { "X-Deadline-Ms", "60000" } },
                         .body = "job" },
            HttpResponder([this](const HttpResponse& it) { statuses.push_back(it.status); }));
    }
};

// Guards against a request that waits for a leader or for the store longer than its process runs (issue 61).
TEST(NodeDrain, RequestsAreAnsweredByTheEndOfTheDrain)
{
    constexpr Milliseconds drainTime { 4700 };
    constexpr Milliseconds lateInTheDrain { 4600 };
    configure(1);
    restartNode();
    advance(Milliseconds { 3000 });
    store.fault = FakeRecordStore::Fault::Unresponsive;
    request("POST");
    advance(Milliseconds { 20 });
    auto answerBy = clock.now() + drainTime;
    node->prepareShutdown({ .answerBy = answerBy, .endsBy = answerBy + Milliseconds { 500 } });
    advance(lateInTheDrain);
    request("GET");
    request("DELETE");
    advance(answerBy - clock.now());
    std::ranges::sort(statuses);
    CHECK_EQUAL(3, statuses.size());
    CHECK_EQUAL(503, statuses[0]);
    CHECK_EQUAL(503, statuses[1]);
    CHECK_EQUAL(504, statuses[2]);
    request("GET");
    CHECK_EQUAL(4, statuses.size());
    CHECK_EQUAL(503, statuses[3]);
}
