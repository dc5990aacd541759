#pragma once

#include <LibHttp/Forward.h>
#include <LibHttp/RequestIds.h>
#include <LibPlatform/LogService.h>
#include <memory>

namespace Bergamot {

/// LogService over the platform's HTTP protocol.
class HttpLogService final : public LogService {
public:
    struct Options {
        std::string baseUrl {};
        /// Name of this member, sent in the X-Member header so that the platform can distinguish its clients.
        std::string member {};
        Milliseconds timeout { 2000 };
        std::shared_ptr<HttpEngine> engine {};
        std::shared_ptr<RequestIds> requestIds {};
    };

    explicit HttpLogService(Options options)
        : m_options(std::move(options))
    {
    }

    void append(const std::string& stream, std::string bytes, Callback<LogPosition>) override;
    void read(const std::string& stream, LogPosition from, Milliseconds wait, Callback<LogChunk>) override;

private:
    Options m_options;
};

/// Decodes the body of a read response. Returns InvalidArgument for malformed or truncated bytes.
absl::StatusOr<LogChunk> decodeLogChunk(std::string_view bytes);

}
