#pragma once

#include <LibHttp/HttpHeaders.h>
#include <string>
#include <vector>

namespace Bergamot {

/// An incoming HTTP request. `query` holds the query parameters as name and value pairs. The path and the parameters
/// are not percent-decoded.
struct HttpRequest {
    std::string method {};
    std::string path {};
    HttpHeaders query {};
    HttpHeaders headers {};
    std::string body {};

    /// Returns the non-empty segments of the path.
    std::vector<std::string> segments() const;
};

}
