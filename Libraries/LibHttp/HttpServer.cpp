#include <LibHttp/HttpServer.h>
#include <algorithm>
#include <cctype>
#include <exception>
#include <fmt/format.h>
#include <pistache/endpoint.h>
#include <pistache/http_headers.h>
#include <utility>

namespace Bergamot {

namespace Http = Pistache::Http;

static HttpRequest toRequest(const Http::Request& request)
{
    HttpRequest result {
        .method = Http::methodString(request.method()),
        .path = request.resource(),
        .body = request.body(),
    };
    for (auto it = request.query().parameters_begin(); it != request.query().parameters_end(); ++it)
        result.query.push_back({ it->first, it->second });
    for (const auto& [name, raw] : request.headers().rawList())
        result.headers.push_back({ name, raw.value() });
    return result;
}

static bool hasValidContentLength(const HttpRequest& request)
{
    auto value = headerValue(request.headers, "Content-Length");
    return std::ranges::all_of(value, [](unsigned char c) { return std::isdigit(c); });
}

namespace {

    /// Pistache writes only typed headers, so any other header travels in this type.
    class NamedHeader final : public Http::Header::Header {
    public:
        explicit NamedHeader(const HttpHeader& header)
            : m_header(header)
        {
        }

        const char* name() const override { return m_header.name.c_str(); }
        uint64_t hash() const override { return 0; }
        void write(std::ostream& stream) const override { stream << m_header.value; }

    private:
        HttpHeader m_header;
    };

}

static void sendOn(Http::ResponseWriter& writer, const HttpResponse& response)
{
    for (const auto& header : response.headers)
        writer.headers().add(std::make_shared<NamedHeader>(header));
    writer.headers().add(std::make_shared<NamedHeader>(HttpHeader { "Content-Type", response.contentType }));
    writer.send(static_cast<Http::Code>(response.status), response.body);
}

namespace {

    class Dispatcher final : public Http::Handler {
    public:
        HTTP_PROTOTYPE(Dispatcher)

        Dispatcher(HttpServer::Handler handler, std::shared_ptr<std::atomic<size_t>> inProgress)
            : m_handler(std::move(handler))
            , m_inProgress(std::move(inProgress))
        {
        }

        void onRequest(const Http::Request& request, Http::ResponseWriter response) override
        {
            ++*m_inProgress;
            auto writer = std::make_shared<Http::ResponseWriter>(std::move(response));
            HttpResponder responder([writer, count = m_inProgress](const HttpResponse& answer) {
                sendOn(*writer, answer);
                --*count;
            });
            auto converted = toRequest(request);
            // Pistache 0.0.5 accepts a Content-Length that is no number and then reads an arbitrary body.
            if (!hasValidContentLength(converted)) {
                responder.send({ .status = 400, .body = R"({"title":"Content-Length is not a number","ran":"no"})" });
                return;
            }
            m_handler(std::move(converted), std::move(responder));
        }

    private:
        HttpServer::Handler m_handler;
        std::shared_ptr<std::atomic<size_t>> m_inProgress;
    };

}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::create(Options options)
{
    std::unique_ptr<HttpServer> server(new HttpServer());
    // Pistache reports a failed bind by an exception; it ends here and becomes a value.
    try {
        Pistache::Address address(options.address, Pistache::Port(options.port));
        server->m_endpoint = std::make_unique<Http::Endpoint>(address);
        auto settings = Http::Endpoint::options()
                            .threads(options.threads)
                            .maxRequestSize(options.maxRequestBytes)
                            .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay);
        server->m_endpoint->init(settings);
        server->m_endpoint->setHandler(std::make_shared<Dispatcher>(std::move(options.handler), server->m_inProgress));
        server->m_endpoint->serveThreaded();
    } catch (const std::exception& error) {
        server->m_endpoint.reset();
        return absl::UnavailableError(
            fmt::format("cannot listen on {}:{}: {}", options.address, options.port, error.what()));
    }
    return server;
}

HttpServer::~HttpServer() { shutdown(); }

uint16_t HttpServer::port() const { return static_cast<uint16_t>(m_endpoint->getPort()); }

void HttpServer::shutdown()
{
    if (std::exchange(m_stopped, true) || !m_endpoint)
        return;
    m_endpoint->shutdown();
}

}
