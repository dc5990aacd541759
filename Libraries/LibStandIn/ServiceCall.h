#pragma once

#include <string>

namespace Bergamot {

/// A quick request as a worker receives it.
struct ServiceCall {
    std::string service {};
    std::string requestId {};
    std::string key {};
    bool nonIdempotent { false };
    std::string digest {};
};

}
