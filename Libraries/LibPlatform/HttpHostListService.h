#pragma once

#include <LibHttp/Forward.h>
#include <LibHttp/RequestIds.h>
#include <LibPlatform/HostListService.h>
#include <memory>
#include <string>
#include <string_view>

namespace Bergamot {

/// HostListService over the platform's HTTP protocol.
class HttpHostListService final : public HostListService {
public:
    HttpHostListService(std::string baseUrl, std::shared_ptr<HttpEngine> engine, std::shared_ptr<RequestIds> requestIds)
        : m_baseUrl(std::move(baseUrl))
        , m_engine(std::move(engine))
        , m_requestIds(std::move(requestIds))
    {
    }

    void list(Callback) override;

private:
    std::string m_baseUrl;
    std::shared_ptr<HttpEngine> m_engine;
    std::shared_ptr<RequestIds> m_requestIds;
};

/// Returns InvalidArgument for malformed input, so that it is not mistaken for an empty host list.
absl::StatusOr<std::vector<HostEntry>> decodeHostList(std::string_view json);

}
