#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// The outcome of a claimed request. Valid only from the member that claimed the request.
struct RequestFinished {
    std::string key {};
    int32_t status { 0 };
    std::string body {};

    bool operator==(const RequestFinished&) const = default;
    MSGPACK_DEFINE_ARRAY(key, status, body)
};

}
