#include <LibCore/Verify.h>
#include <LibHttp/HttpResponder.h>
#include <utility>

namespace Bergamot {

HttpResponder::HttpResponder(Sender sender)
    : m_sender(std::make_unique<Sender>(std::move(sender)))
{
}

HttpResponder::~HttpResponder()
{
    if (m_sender)
        send({ .status = 500, .body = "{}" });
}

void HttpResponder::send(const HttpResponse& response)
{
    VERIFY(m_sender);
    auto sender = std::exchange(m_sender, nullptr);
    (*sender)(response);
}

}
