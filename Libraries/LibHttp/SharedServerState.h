#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

namespace Bergamot {

/// State shared by the transports of one server. Accessed from all threads of the server.
struct SharedServerState {
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    Handler handler;

    /// May be replaced while the server runs.
    std::atomic<std::shared_ptr<const HttpLimits>> limits;

    /// Number of requests that have been received but not answered.
    std::atomic<size_t> requestsInProgress { 0 };
};

}
