#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

namespace Bergamot {

/// What the transports of one server have in common. Used from all of its threads.
struct ServerShared {
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    Handler handler;

    /// Replaced while the server runs.
    std::atomic<std::shared_ptr<const HttpLimits>> limits;

    /// Requests that have arrived and are not answered yet.
    std::atomic<size_t> inProgress { 0 };
};

}
