#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpRequest.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Bergamot {

/// Reads one HTTP/1.1 request from the bytes of a connection, which may arrive in any pieces.
class RequestParser {
public:
    /// More bytes are needed.
    struct Incomplete {
        bool headersComplete { false };
    };

    /// The request takes the first `size` bytes.
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

    /// `bytes` holds all that has arrived of this request, so each call repeats what the calls before it had. After
    /// any other result than Incomplete, a new parser reads the next request.
    Result parse(std::string_view bytes, const HttpLimits&);

private:
    std::optional<Refusal> parseHead(std::string_view bytes, const HttpLimits&);
    std::optional<Refusal> parseLine(std::string_view line);
    std::optional<Refusal> parseRequestLine(std::string_view line);
    std::optional<Refusal> parseHeader(std::string_view line);
    std::optional<Refusal> parseBody(std::string_view bytes, const HttpLimits&);
    std::optional<Refusal> parseChunks(std::string_view bytes);
    void parseTarget(std::string_view target);

    HttpRequest m_request;
    /// Where the next line, chunk or body begins.
    size_t m_position { 0 };
    /// Up to here, no end of the current line was found.
    size_t m_searched { 0 };
    uint64_t m_contentLength { 0 };
    bool m_hasContentLength { false };
    bool m_isChunked { false };
    bool m_isHttp10 { false };
    bool m_hasRequestLine { false };
    bool m_headersComplete { false };
    bool m_inTrailer { false };
    bool m_isComplete { false };
};

}
