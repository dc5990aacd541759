#include <CppUTest/TestHarness.h>
#include <LibAdmin/CurlAdminClient.h>
#include <atomic>
#include <fmt/format.h>
#include <mutex>
#include <pistache/endpoint.h>

using namespace Bergamot;
using namespace Pistache;

/// An entry host on a free loopback port. It replies to all requests with the given status, or not at all for 0.
class EntryHostStub {
public:
    explicit EntryHostStub(int status)
        : m_endpoint(Address(Ipv4::loopback(), Port(0)))
    {
        auto handler = std::make_shared<Handler>();
        handler->status = status;
        handler->received = m_received;
        m_endpoint.init(Http::Endpoint::options().threads(1).flags(Tcp::Options::ReuseAddr));
        m_endpoint.setHandler(handler);
        m_endpoint.serveThreaded();
    }

    ~EntryHostStub() { m_endpoint.shutdown(); }

    std::string address() const { return fmt::format("127.0.0.1:{}", static_cast<uint16_t>(m_endpoint.getPort())); }

    std::vector<std::string> requests() const
    {
        std::lock_guard lock(m_received->mutex);
        return m_received->requests;
    }

private:
    struct ReceivedRequests {
        std::mutex mutex;
        std::vector<std::string> requests;
    };

    struct Handler final : Http::Handler {
        HTTP_PROTOTYPE(Handler)

        void onRequest(const Http::Request& request, Http::ResponseWriter response) override
        {
            auto token = request.headers().tryGetRaw("Authorization");
            {
                std::lock_guard lock(received->mutex);
                received->requests.push_back(fmt::format("{} {}{} [{}] {}", Http::methodString(request.method()),
                    request.resource(), request.query().as_str(), token ? token->value() : "", request.body()));
            }
            if (status != 0)
                response.send(static_cast<Http::Code>(status), "{\"status\":1}");
            else
                pendingResponses.push_back(std::make_shared<Http::ResponseWriter>(std::move(response)));
        }

        int status { 0 };
        std::shared_ptr<ReceivedRequests> received;
        std::vector<std::shared_ptr<Http::ResponseWriter>> pendingResponses;
    };

    std::shared_ptr<ReceivedRequests> m_received { std::make_shared<ReceivedRequests>() };
    Http::Endpoint m_endpoint;
};

/// Port 1 of loopback refuses connections.
static const char* const unreachableEntry = "127.0.0.1:1";

TEST_GROUP(CurlAdminClient) {};

// Guards against a command that fails when the first entry host is unreachable, and against sending a wrong method,
// path, token or body.
TEST(CurlAdminClient, TriesTheNextEntryHost)
{
    EntryHostStub stub(200);
    CurlAdminClient client({ .entries = { unreachableEntry, stub.address() }, .token = "secret" });
    auto reply = client.send({ .method = "POST", .path = "/admin/zones/a?x=1", .body = "{\"out\":true}" });
    CHECK(reply.ok());
    LONGS_EQUAL(200, reply->status);
    STRCMP_EQUAL("{\"status\":1}", reply->body.c_str());
    LONGS_EQUAL(1, stub.requests().size());
    STRCMP_EQUAL("POST /admin/zones/a?x=1 [Bearer secret] {\"out\":true}", stub.requests()[0].c_str());
    LONGS_EQUAL(1, client.sendToAll({ .path = "/admin/status" }).size());
}

// Guards against failing at a host that cannot reach the log while another host can, and against losing the 503 reply
// when no other host replies.
TEST(CurlAdminClient, RetriesA503AtTheNextEntryHost)
{
    EntryHostStub unavailable(503);
    EntryHostStub good(200);
    CurlAdminClient both({ .entries = { unavailable.address(), good.address() } });
    LONGS_EQUAL(200, both.send({ .path = "/" })->status);
    CurlAdminClient unavailableOnly({ .entries = { unavailable.address(), unreachableEntry } });
    LONGS_EQUAL(503, unavailableOnly.send({ .path = "/" })->status);
    CurlAdminClient unreachableOnly({ .entries = { unreachableEntry } });
    CHECK(absl::IsUnavailable(unreachableOnly.send({ .path = "/" }).status()));
}

// Guards against a change that is applied twice because its reply was lost.
TEST(CurlAdminClient, LostReplyIsRetriedOnlyForRetryableRequests)
{
    EntryHostStub silent(0);
    EntryHostStub good(200);
    AdminRequest change {
        .method = "POST", .path = "/x", .body = "{}", .isRetryable = false, .timeout = Milliseconds(300)
    };
    CurlAdminClient client({ .entries = { silent.address(), good.address() } });
    CHECK(absl::IsDeadlineExceeded(client.send(change).status()));
    LONGS_EQUAL(0, good.requests().size());
    change.isRetryable = true;
    LONGS_EQUAL(200, client.send(change)->status);
    LONGS_EQUAL(1, good.requests().size());
}
