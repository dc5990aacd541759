#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpRequest.h>
#include <cstddef>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Bergamot {

/// Parses one HTTP/1.x request from the bytes of a connection, which may arrive in pieces of any size. The library
/// http_parser parses the syntax; this class enforces the limits and builds the request.
class RequestParser {
public:
    /// All bytes are consumed, and the request is not complete.
    struct Incomplete {
        bool headersComplete { false };
    };

    /// The request is complete and ends after the first `size` bytes of the last call.
    struct Complete {
        HttpRequest request {};
        size_t size { 0 };
        bool isKeepAlive { true };
        /// Value of the request's Connection header; empty if there is none.
        std::string connectionHeader {};
    };

    /// The request is invalid or exceeds a limit, and the start of the next request is unknown.
    struct ParseError {
        int status { 400 };
        std::string_view title {};
    };
    using Result = std::variant<Incomplete, Complete, ParseError>;

    RequestParser();

    /// `bytes` must directly follow the bytes of the previous call. After any result but Incomplete, the next request
    /// needs a new parser.
    Result parse(std::string_view bytes, const HttpLimits&);

private:
    static RequestParser& parserFrom(http_parser*);
    static const http_parser_settings& callbacks();
    int appendTarget(std::string_view);
    int appendHeaderName(std::string_view);
    int appendHeaderValue(std::string_view);
    int finishHeaders();
    int appendBody(std::string_view);
    int finishMessage();
    int fail(int status, std::string_view title);
    int countHeaderBytes(size_t);
    ParseError errorFor(http_errno) const;

    http_parser m_parser {};
    const HttpLimits* m_limits { nullptr };
    HttpRequest m_request;
    std::string m_target;
    size_t m_headerBytes { 0 };
    bool m_isInHeaderValue { true };
    bool m_areHeadersComplete { false };
    bool m_isComplete { false };
    bool m_isKeepAlive { false };
    std::optional<ParseError> m_error;
};

}
