#pragma once

#include <LibAdmin/AdminClient.h>
#include <LibAdmin/AdminClientOptions.h>

namespace Bergamot {

/// Sends requests to the entry hosts over HTTP with libcurl.
class CurlAdminClient final : public AdminClient {
public:
    explicit CurlAdminClient(AdminClientOptions options);

    absl::StatusOr<AdminReply> send(const AdminRequest& request) override;
    std::vector<AdminReply> sendToAll(const AdminRequest& request) override;

private:
    enum class WaitReports { Enabled, Disabled };

    absl::StatusOr<AdminReply> sendTo(const std::string& entry, const AdminRequest& request, WaitReports) const;

    AdminClientOptions m_options;
    /// Index of the entry host that replied last; the next request tries it first.
    size_t m_currentEntry { 0 };
};

}
