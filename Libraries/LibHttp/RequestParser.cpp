#include <LibHttp/RequestParser.h>
#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace Bergamot {

using Refusal = RequestParser::Refusal;

static constexpr std::string_view lineEnd = "\r\n";

/// No registered method is longer.
static constexpr size_t maxMethodBytes = 20;

/// Of a chunk's size with its extensions.
static constexpr size_t maxChunkLineBytes = 256;

static bool isMethodCharacter(unsigned char c) { return (c >= 'A' && c <= 'Z') || c == '-'; }

static bool isTokenCharacter(unsigned char c)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (c < 0x80 && std::isalnum(c)) || others.find(static_cast<char>(c)) != std::string_view::npos;
}

static bool isControlCharacter(unsigned char c) { return c < 0x20 || c == 0x7f; }

static std::string_view trimmed(std::string_view text)
{
    auto isBlank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && isBlank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isBlank(text.back()))
        text.remove_suffix(1);
    return text;
}

static bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

/// Whether more bytes can make a request line of these, the first ones of a line.
static bool canBeginRequestLine(std::string_view part)
{
    auto method = part.substr(0, part.find(' '));
    if (method == "\r")
        return true;
    if (method.size() == part.size() && method.ends_with('\r'))
        return false;
    if (method.size() > maxMethodBytes || !std::ranges::all_of(method, isMethodCharacter))
        return false;
    auto rest = part.substr(method.size());
    if (rest.ends_with('\r'))
        rest.remove_suffix(1);
    return (rest.empty() || !method.empty()) && std::ranges::none_of(rest, isControlCharacter);
}

RequestParser::Result RequestParser::parse(std::string_view bytes, const HttpLimits& limits)
{
    if (!m_headersComplete) {
        if (auto refusal = parseHead(bytes, limits))
            return *refusal;
    }
    if (m_headersComplete && !m_isComplete) {
        if (auto refusal = parseBody(bytes, limits))
            return *refusal;
    }
    if (!m_isComplete)
        return Incomplete { .headersComplete = m_headersComplete };
    std::string connection(headerValue(m_request.headers, "Connection"));
    bool keeps = m_isHttp10 ? equalsIgnoringCase(connection, "keep-alive") : !equalsIgnoringCase(connection, "close");
    return Complete { .request = std::move(m_request),
        .size = m_position,
        .keepsConnection = keeps,
        .connection = std::move(connection) };
}

std::optional<Refusal> RequestParser::parseHead(std::string_view bytes, const HttpLimits& limits)
{
    while (!m_headersComplete) {
        auto end = bytes.find(lineEnd, std::max(m_position, m_searched));
        if (std::min(end, bytes.size()) > limits.maxHeaderBytes)
            return Refusal { 431, "the headers are too large" };
        if (end == std::string_view::npos) {
            if (!m_hasRequestLine && !canBeginRequestLine(bytes.substr(m_position)))
                return Refusal { 400, "not an HTTP request" };
            // The last byte may be the first half of the end of the line.
            m_searched = bytes.empty() ? 0 : bytes.size() - 1;
            return std::nullopt;
        }
        auto line = bytes.substr(m_position, end - m_position);
        m_position = end + lineEnd.size();
        if (auto refusal = parseLine(line))
            return refusal;
        if (m_request.headers.size() > limits.maxHeaders)
            return Refusal { 431, "too many headers" };
    }
    return std::nullopt;
}

std::optional<Refusal> RequestParser::parseLine(std::string_view line)
{
    if (!m_hasRequestLine)
        return line.empty() ? std::nullopt : parseRequestLine(line);
    if (!line.empty())
        return parseHeader(line);
    m_headersComplete = true;
    // A request with both has two readings of where it ends.
    if (m_isChunked && m_hasContentLength)
        return Refusal { 400, "Content-Length beside Transfer-Encoding" };
    return std::nullopt;
}

std::optional<Refusal> RequestParser::parseRequestLine(std::string_view line)
{
    constexpr Refusal noRequest { 400, "not an HTTP request" };
    auto methodEnd = line.find(' ');
    auto targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || targetEnd <= methodEnd + 1 || !canBeginRequestLine(line))
        return noRequest;
    auto target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    auto version = line.substr(targetEnd + 1);
    if ((version != "HTTP/1.1" && version != "HTTP/1.0") || target.find(' ') != std::string_view::npos)
        return noRequest;
    m_isHttp10 = version == "HTTP/1.0";
    m_request.method = line.substr(0, methodEnd);
    parseTarget(target);
    m_hasRequestLine = true;
    return std::nullopt;
}

void RequestParser::parseTarget(std::string_view target)
{
    auto question = target.find('?');
    m_request.path = target.substr(0, question);
    if (question == std::string_view::npos)
        return;
    auto rest = target.substr(question + 1);
    while (!rest.empty()) {
        auto parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), parameter.size() + 1));
        auto equals = parameter.find('=');
        auto value = equals == std::string_view::npos ? std::string_view {} : parameter.substr(equals + 1);
        if (!parameter.empty())
            m_request.query.push_back({ std::string(parameter.substr(0, equals)), std::string(value) });
    }
}

std::optional<Refusal> RequestParser::parseHeader(std::string_view line)
{
    auto colon = line.find(':');
    auto name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() || !std::ranges::all_of(name, isTokenCharacter))
        return Refusal { 400, "a header cannot be read" };
    auto value = trimmed(line.substr(colon + 1));
    if (equalsIgnoringCase(name, "Content-Length")) {
        uint64_t length = 0;
        auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), length);
        if (ec != std::errc {} || end != value.data() + value.size()
            || (m_hasContentLength && length != m_contentLength))
            return Refusal { 400, "Content-Length is not a number" };
        m_contentLength = length;
        m_hasContentLength = true;
    }
    if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        if (!equalsIgnoringCase(value, "chunked"))
            return Refusal { 501, "the transfer encoding is unknown" };
        m_isChunked = true;
    }
    m_request.headers.push_back({ std::string(name), std::string(value) });
    return std::nullopt;
}

std::optional<Refusal> RequestParser::parseBody(std::string_view bytes, const HttpLimits& limits)
{
    constexpr Refusal tooLarge { 413, "the request is too large" };
    if (m_isChunked) {
        auto refusal = parseChunks(bytes);
        auto size = m_isComplete ? m_position : bytes.size();
        if (!refusal && (size > limits.maxRequestBytes || m_request.body.size() > limits.maxBodyBytes))
            return tooLarge;
        return refusal;
    }
    if (m_position > limits.maxRequestBytes || m_contentLength > limits.maxRequestBytes - m_position
        || m_contentLength > limits.maxBodyBytes)
        return tooLarge;
    if (bytes.size() - m_position < m_contentLength)
        return std::nullopt;
    m_request.body = bytes.substr(m_position, m_contentLength);
    m_position += m_contentLength;
    m_isComplete = true;
    return std::nullopt;
}

std::optional<Refusal> RequestParser::parseChunks(std::string_view bytes)
{
    while (!m_isComplete) {
        auto end = bytes.find(lineEnd, m_position);
        if (std::min(end, bytes.size()) - m_position > maxChunkLineBytes)
            return Refusal { 400, "a chunk cannot be read" };
        if (end == std::string_view::npos)
            return std::nullopt;
        auto line = bytes.substr(m_position, end - m_position);
        auto afterLine = end + lineEnd.size();
        if (m_inTrailer) {
            m_position = afterLine;
            m_isComplete = line.empty();
            continue;
        }
        uint64_t size = 0;
        auto [sizeEnd, ec] = std::from_chars(line.data(), line.data() + line.size(), size, 16);
        auto extension = trimmed(line.substr(static_cast<size_t>(sizeEnd - line.data())));
        if (ec != std::errc {} || (!extension.empty() && extension.front() != ';'))
            return Refusal { 400, "a chunk cannot be read" };
        if (size == 0) {
            m_inTrailer = true;
            m_position = afterLine;
            continue;
        }
        auto available = bytes.size() - afterLine;
        if (available < lineEnd.size() || size > available - lineEnd.size())
            return std::nullopt;
        if (bytes.substr(afterLine + size, lineEnd.size()) != lineEnd)
            return Refusal { 400, "a chunk cannot be read" };
        m_request.body += bytes.substr(afterLine, size);
        m_position = afterLine + size + lineEnd.size();
    }
    return std::nullopt;
}

}
