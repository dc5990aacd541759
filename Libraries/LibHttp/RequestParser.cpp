#include <LibHttp/RequestParser.h>
#include <algorithm>
#include <limits>
#include <utility>

namespace Bergamot {

/// Results of the library's callbacks.
static constexpr int goOn = 0;
static constexpr int stop = -1;

/// Of a header line beside its name and its value.
static constexpr size_t headerSeparatorBytes = 4;

RequestParser& RequestParser::parserOf(http_parser* parser) { return *static_cast<RequestParser*>(parser->data); }

const http_parser_settings& RequestParser::callbacks()
{
    static const http_parser_settings settings {
        .on_url =
            [](http_parser* it, const char* data, size_t n) {
                return parserOf(it).takeTarget({ data, n });
            },
        .on_header_field =
            [](http_parser* it, const char* data, size_t n) {
                return parserOf(it).takeHeaderName({ data, n });
            },
        .on_header_value =
            [](http_parser* it, const char* data, size_t n) {
                return parserOf(it).takeHeaderValue({ data, n });
            },
        .on_headers_complete = [](http_parser* it) { return parserOf(it).takeHeadersEnd(); },
        .on_body =
            [](http_parser* it, const char* data, size_t n) {
                return parserOf(it).takeBody({ data, n });
            },
        .on_message_complete = [](http_parser* it) { return parserOf(it).takeMessageEnd(); },
    };
    return settings;
}

RequestParser::RequestParser() { http_parser_init(&m_parser, HTTP_REQUEST); }

/// Splits the query off and takes it apart. A parameter without a value has an empty one.
static void splitTarget(std::string_view target, HttpRequest& request)
{
    auto question = target.find('?');
    request.path = target.substr(0, question);
    if (question == std::string_view::npos)
        return;
    auto rest = target.substr(question + 1);
    while (!rest.empty()) {
        auto parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
        auto equals = parameter.find('=');
        auto value = equals == std::string_view::npos ? std::string_view {} : parameter.substr(equals + 1);
        if (!parameter.empty())
            request.query.push_back({ std::string(parameter.substr(0, equals)), std::string(value) });
    }
}

RequestParser::Result RequestParser::parse(std::string_view bytes, const HttpLimits& limits)
{
    m_limits = &limits;
    // The parser may have been moved since the last call.
    m_parser.data = this;
    auto size = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    if (m_refusal)
        return *m_refusal;
    auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && !m_isComplete)
        return refusalOf(error);
    if (!m_isComplete)
        return Incomplete { .headersComplete = m_headersComplete };
    m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
    splitTarget(m_target, m_request);
    std::string connection(headerValue(m_request.headers, "Connection"));
    return Complete { .request = std::move(m_request),
        .size = size,
        .keepsConnection = m_keepsConnection,
        .connection = std::move(connection) };
}

RequestParser::Refusal RequestParser::refusalOf(http_errno error) const
{
    switch (error) {
    case HPE_HEADER_OVERFLOW:
        return { 431, "the headers are too large" };
    case HPE_INVALID_CONTENT_LENGTH:
        return { 400, "Content-Length is not a number" };
    case HPE_UNEXPECTED_CONTENT_LENGTH:
        return { 400, "Content-Length beside another length" };
    case HPE_INVALID_TRANSFER_ENCODING:
        return { 501, "the transfer encoding is unknown" };
    case HPE_INVALID_HEADER_TOKEN:
        return { 400, "a header cannot be read" };
    case HPE_INVALID_CHUNK_SIZE:
        return { 400, "a chunk cannot be read" };
    default:
        return { 400, "not an HTTP request" };
    }
}

int RequestParser::refuse(int status, std::string_view title)
{
    m_refusal = Refusal { status, title };
    return stop;
}

int RequestParser::countHeadBytes(size_t n)
{
    m_headBytes += n;
    return m_headBytes > m_limits->maxHeaderBytes ? refuse(431, "the headers are too large") : goOn;
}

int RequestParser::takeTarget(std::string_view part)
{
    m_target += part;
    return countHeadBytes(part.size());
}

int RequestParser::takeHeaderName(std::string_view part)
{
    // The trailer of a chunked body is counted, but not kept.
    if (m_headersComplete)
        return countHeadBytes(part.size());
    if (std::exchange(m_inHeaderValue, false)) {
        if (m_request.headers.size() == m_limits->maxHeaders)
            return refuse(431, "too many headers");
        m_request.headers.emplace_back();
        m_headBytes += headerSeparatorBytes;
    }
    m_request.headers.back().name += part;
    return countHeadBytes(part.size());
}

int RequestParser::takeHeaderValue(std::string_view part)
{
    if (!m_headersComplete) {
        m_inHeaderValue = true;
        m_request.headers.back().value += part;
    }
    return countHeadBytes(part.size());
}

int RequestParser::takeHeadersEnd()
{
    m_headersComplete = true;
    bool isKnownVersion = m_parser.http_major == 1 && m_parser.http_minor <= 1;
    if (!isKnownVersion)
        return refuse(400, "not an HTTP request");
    constexpr auto noLength = std::numeric_limits<uint64_t>::max();
    auto length = m_parser.content_length;
    if (length == noLength)
        return goOn;
    bool fits = m_headBytes <= m_limits->maxRequestBytes && length <= m_limits->maxRequestBytes - m_headBytes
        && length <= m_limits->maxBodyBytes;
    return fits ? goOn : refuse(413, "the request is too large");
}

int RequestParser::takeBody(std::string_view part)
{
    m_request.body += part;
    auto size = m_request.body.size();
    bool fits = size <= m_limits->maxBodyBytes && m_headBytes + size <= m_limits->maxRequestBytes;
    return fits ? goOn : refuse(413, "the request is too large");
}

int RequestParser::takeMessageEnd()
{
    m_isComplete = true;
    m_keepsConnection = http_should_keep_alive(&m_parser) != 0;
    // The bytes that follow belong to the next request.
    http_parser_pause(&m_parser, 1);
    return goOn;
}

}
