#include <LibHttp/RequestParser.h>
#include <algorithm>
#include <limits>
#include <utility>

namespace Bergamot {

/// Return values of the http_parser callbacks.
static constexpr int continueParsing = 0;
static constexpr int abortParsing = -1;

/// Size of the colon, space and CRLF of a header line.
static constexpr size_t headerSeparatorBytes = 4;

RequestParser& RequestParser::parserFrom(http_parser* parser) { return *static_cast<RequestParser*>(parser->data); }

const http_parser_settings& RequestParser::callbacks()
{
    static const http_parser_settings settings {
        .on_url =
            [](http_parser* parser, const char* data, size_t n) {
                return parserFrom(parser).appendTarget({ data, n });
            },
        .on_header_field =
            [](http_parser* parser, const char* data, size_t n) {
                return parserFrom(parser).appendHeaderName({ data, n });
            },
        .on_header_value =
            [](http_parser* parser, const char* data, size_t n) {
                return parserFrom(parser).appendHeaderValue({ data, n });
            },
        .on_headers_complete = [](http_parser* parser) { return parserFrom(parser).finishHeaders(); },
        .on_body =
            [](http_parser* parser, const char* data, size_t n) {
                return parserFrom(parser).appendBody({ data, n });
            },
        .on_message_complete = [](http_parser* parser) { return parserFrom(parser).finishMessage(); },
    };
    return settings;
}

RequestParser::RequestParser() { http_parser_init(&m_parser, HTTP_REQUEST); }

/// Splits the request target into the path and the query parameters. A parameter without '=' gets an empty value.
static void parseTarget(std::string_view target, HttpRequest& request)
{
    auto queryStart = target.find('?');
    request.path = target.substr(0, queryStart);
    if (queryStart == std::string_view::npos)
        return;
    auto remaining = target.substr(queryStart + 1);
    while (!remaining.empty()) {
        auto parameter = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(remaining.size(), parameter.size() + 1));
        auto equals = parameter.find('=');
        auto value = equals == std::string_view::npos ? std::string_view {} : parameter.substr(equals + 1);
        if (!parameter.empty())
            request.query.push_back({ std::string(parameter.substr(0, equals)), std::string(value) });
    }
}

RequestParser::Result RequestParser::parse(std::string_view bytes, const HttpLimits& limits)
{
    m_limits = &limits;
    // This object may have been moved since the last call.
    m_parser.data = this;
    auto size = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    if (m_error)
        return *m_error;
    auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && !m_isComplete)
        return errorFor(error);
    if (!m_isComplete)
        return Incomplete { .headersComplete = m_areHeadersComplete };
    m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
    parseTarget(m_target, m_request);
    std::string connectionHeader(headerValue(m_request.headers, "Connection"));
    return Complete { .request = std::move(m_request),
        .size = size,
        .isKeepAlive = m_isKeepAlive,
        .connectionHeader = std::move(connectionHeader) };
}

RequestParser::ParseError RequestParser::errorFor(http_errno error) const
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

int RequestParser::fail(int status, std::string_view title)
{
    m_error = ParseError { status, title };
    return abortParsing;
}

int RequestParser::countHeaderBytes(size_t n)
{
    m_headerBytes += n;
    return m_headerBytes > m_limits->maxHeaderBytes ? fail(431, "the headers are too large") : continueParsing;
}

int RequestParser::appendTarget(std::string_view fragment)
{
    m_target += fragment;
    return countHeaderBytes(fragment.size());
}

int RequestParser::appendHeaderName(std::string_view fragment)
{
    // Trailer fields of a chunked body count towards the header limit but are discarded.
    if (m_areHeadersComplete)
        return countHeaderBytes(fragment.size());
    if (std::exchange(m_isInHeaderValue, false)) {
        if (m_request.headers.size() == m_limits->maxHeaders)
            return fail(431, "too many headers");
        m_request.headers.emplace_back();
        m_headerBytes += headerSeparatorBytes;
    }
    m_request.headers.back().name += fragment;
    return countHeaderBytes(fragment.size());
}

int RequestParser::appendHeaderValue(std::string_view fragment)
{
    if (!m_areHeadersComplete) {
        m_isInHeaderValue = true;
        m_request.headers.back().value += fragment;
    }
    return countHeaderBytes(fragment.size());
}

int RequestParser::finishHeaders()
{
    m_areHeadersComplete = true;
    bool isKnownVersion = m_parser.http_major == 1 && m_parser.http_minor <= 1;
    if (!isKnownVersion)
        return fail(400, "not an HTTP request");
    constexpr auto noContentLength = std::numeric_limits<uint64_t>::max();
    auto length = m_parser.content_length;
    if (length == noContentLength)
        return continueParsing;
    bool isWithinLimits = m_headerBytes <= m_limits->maxRequestBytes
        && length <= m_limits->maxRequestBytes - m_headerBytes && length <= m_limits->maxBodyBytes;
    return isWithinLimits ? continueParsing : fail(413, "the request is too large");
}

int RequestParser::appendBody(std::string_view fragment)
{
    m_request.body += fragment;
    auto size = m_request.body.size();
    bool isWithinLimits = size <= m_limits->maxBodyBytes && m_headerBytes + size <= m_limits->maxRequestBytes;
    return isWithinLimits ? continueParsing : fail(413, "the request is too large");
}

int RequestParser::finishMessage()
{
    m_isComplete = true;
    m_isKeepAlive = http_should_keep_alive(&m_parser) != 0;
    // Stops the parser, because the following bytes belong to the next request.
    http_parser_pause(&m_parser, 1);
    return continueParsing;
}

}
