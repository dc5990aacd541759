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

/// Reads one HTTP/1.x request from the bytes of a connection, which may arrive in any pieces. The library http_parser
/// reads the syntax; this class applies the limits and builds the request.
class RequestParser {
public:
    /// All bytes are taken, and more are needed.
    struct Incomplete {
        bool headersComplete { false };
    };

    /// The request ends after the first `size` of the bytes.
    struct Complete {
        HttpRequest request {};
        size_t size { 0 };
        bool keepsConnection { true };
        /// What the caller's Connection header says; empty without one.
        std::string connection {};
    };

    /// The bytes are no acceptable request, and it is unknown where the next one begins.
    struct Refusal {
        int status { 400 };
        std::string_view title {};
    };
    using Result = std::variant<Incomplete, Complete, Refusal>;

    RequestParser();

    /// `bytes` are those that follow the bytes of the calls before. After any other result than Incomplete, a new
    /// parser reads the next request.
    Result parse(std::string_view bytes, const HttpLimits&);

private:
    static RequestParser& parserOf(http_parser*);
    static const http_parser_settings& callbacks();
    int takeTarget(std::string_view);
    int takeHeaderName(std::string_view);
    int takeHeaderValue(std::string_view);
    int takeHeadersEnd();
    int takeBody(std::string_view);
    int takeMessageEnd();
    int refuse(int status, std::string_view title);
    int countHeadBytes(size_t);
    Refusal refusalOf(http_errno) const;

    http_parser m_parser {};
    const HttpLimits* m_limits { nullptr };
    HttpRequest m_request;
    std::string m_target;
    size_t m_headBytes { 0 };
    bool m_inHeaderValue { true };
    bool m_headersComplete { false };
    bool m_isComplete { false };
    bool m_keepsConnection { false };
    std::optional<Refusal> m_refusal;
};

}
