#pragma once

#include <LibHttp/HttpHeaders.h>
#include <string>

namespace Bergamot {

/// A complete response to an HttpCall.
struct HttpReply {
    int status { 0 };
    HttpHeaders headers {};
    std::string body {};
};

}
