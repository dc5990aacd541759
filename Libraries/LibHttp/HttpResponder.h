#pragma once

#include <LibHttp/HttpResponse.h>
#include <functional>
#include <memory>

namespace Bergamot {

/// Sends the one response to an incoming request, from any thread and also after the handler has returned.
class HttpResponder {
public:
    using Sender = std::function<void(const HttpResponse&)>;

    explicit HttpResponder(Sender);
    HttpResponder(HttpResponder&&) noexcept = default;
    HttpResponder& operator=(HttpResponder&&) noexcept = default;

    /// Sends status 500 if no response was sent, so that the peer does not wait for a response that never comes.
    ~HttpResponder();

    void send(const HttpResponse&);

private:
    std::unique_ptr<Sender> m_sender;
};

}
