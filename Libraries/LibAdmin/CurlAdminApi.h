#pragma once

#include <LibAdmin/AdminApi.h>
#include <LibAdmin/ApiOptions.h>

namespace Bergamot {

/// Reaches the entry hosts over HTTP with libcurl.
class CurlAdminApi final : public AdminApi {
public:
    explicit CurlAdminApi(ApiOptions options);

    absl::StatusOr<AdminReply> send(const AdminRequest& request) override;
    std::vector<AdminReply> sendToEach(const AdminRequest& request) override;

private:
    enum class WaitReport { Send, Omit };

    absl::StatusOr<AdminReply> sendTo(const std::string& entry, const AdminRequest& request, WaitReport) const;

    ApiOptions m_options;
    /// The entry host that answered last; the next request starts there.
    size_t m_current { 0 };
};

}
