#pragma once

#include <LibHttp/HttpHeaders.h>
#include <string>

namespace Bergamot {

/// A response to an incoming request.
struct HttpResponse {
    int status { 200 };
    std::string contentType { "application/json" };
    HttpHeaders headers {};
    std::string body {};
};

}
