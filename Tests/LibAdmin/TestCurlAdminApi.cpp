#include <CppUTest/TestHarness.h>
#include <LibAdmin/CurlAdminApi.h>
#include <atomic>
#include <fmt/format.h>
#include <mutex>
#include <pistache/endpoint.h>

using namespace Bergamot;
using namespace Pistache;

/// An entry host on a free port of loopback. It answers with one status, or never.
class EntryStub {
public:
    explicit EntryStub(int status)
        : m_endpoint(Address(Ipv4::loopback(), Port(0)))
    {
        auto handler = std::make_shared<Handler>();
        handler->status = status;
        handler->seen = m_seen;
        m_endpoint.init(Http::Endpoint::options().threads(1).flags(Tcp::Options::ReuseAddr));
        m_endpoint.setHandler(handler);
        m_endpoint.serveThreaded();
    }

    ~EntryStub() { m_endpoint.shutdown(); }

    std::string address() const { return fmt::format("127.0.0.1:{}", static_cast<uint16_t>(m_endpoint.getPort())); }

    std::vector<std::string> seen() const
    {
        std::lock_guard lock(m_seen->mutex);
        return m_seen->requests;
    }

private:
    struct Seen {
        std::mutex mutex;
        std::vector<std::string> requests;
    };

    struct Handler final : Http::Handler {
        HTTP_PROTOTYPE(Handler)

        void onRequest(const Http::Request& request, Http::ResponseWriter response) override
        {
            auto token = request.headers().tryGetRaw("Authorization");
            {
                std::lock_guard lock(seen->mutex);
                seen->requests.push_back(fmt::format("{} {}{} [{}] {}", Http::methodString(request.method()),
                    request.resource(), request.query().as_str(), token ? token->value() : "", request.body()));
            }
            if (status != 0)
                response.send(static_cast<Http::Code>(status), "{\"status\":1}");
            else
                held.push_back(std::make_shared<Http::ResponseWriter>(std::move(response)));
        }

        int status { 0 };
        std::shared_ptr<Seen> seen;
        std::vector<std::shared_ptr<Http::ResponseWriter>> held;
    };

    std::shared_ptr<Seen> m_seen { std::make_shared<Seen>() };
    Http::Endpoint m_endpoint;
};

/// Port 1 of loopback refuses connections.
static const char* const goneEntry = "127.0.0.1:1";

TEST_GROUP(CurlAdminApi) {};

// Guards against a command that fails because the first entry host is gone, and against requests that arrive altered.
TEST(CurlAdminApi, TriesTheNextEntryHost)
{
    EntryStub stub(200);
    CurlAdminApi api({ .entries = { goneEntry, stub.address() }, .token = "secret" });
    auto reply = api.send({ .method = "POST", .path = "/admin/zones/a?x=1", .body = "{\"out\":true}" });
    CHECK(reply.ok());
    LONGS_EQUAL(200, reply->status);
    STRCMP_EQUAL("{\"status\":1}", reply->body.c_str());
    LONGS_EQUAL(1, stub.seen().size());
    STRCMP_EQUAL("POST /admin/zones/a?x=1 [Bearer secret] {\"out\":true}", stub.seen()[0].c_str());
    LONGS_EQUAL(1, api.sendToEach({ .path = "/admin/status" }).size());
}

// Guards against giving up at a host that cannot reach the log while another one can, and against losing its answer.
TEST(CurlAdminApi, AnswerOf503IsTriedElsewhere)
{
    EntryStub busy(503);
    EntryStub good(200);
    CurlAdminApi both({ .entries = { busy.address(), good.address() } });
    LONGS_EQUAL(200, both.send({ .path = "/" })->status);
    CurlAdminApi alone({ .entries = { busy.address(), goneEntry } });
    LONGS_EQUAL(503, alone.send({ .path = "/" })->status);
    CurlAdminApi gone({ .entries = { goneEntry } });
    CHECK(absl::IsUnavailable(gone.send({ .path = "/" }).status()));
}

// Guards against a change that is made twice because its answer was lost.
TEST(CurlAdminApi, LostAnswerIsRepeatedOnlyWhenThatIsSafe)
{
    EntryStub silent(0);
    EntryStub good(200);
    AdminRequest change {
        .method = "POST", .path = "/x", .body = "{}", .isRepeatable = false, .timeout = Milliseconds(300)
    };
    CurlAdminApi api({ .entries = { silent.address(), good.address() } });
    CHECK(absl::IsDeadlineExceeded(api.send(change).status()));
    LONGS_EQUAL(0, good.seen().size());
    change.isRepeatable = true;
    LONGS_EQUAL(200, api.send(change)->status);
    LONGS_EQUAL(1, good.seen().size());
}
