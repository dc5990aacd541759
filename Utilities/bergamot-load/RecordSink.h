#pragma once

#include <absl/status/statusor.h>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace Bergamot {

/// Appends JSON lines to a file, or writes them to standard output for the name `-`. Thread-safe.
class RecordSink {
public:
    /// An empty name discards all records. Returns Unavailable when the file cannot be opened.
    static absl::StatusOr<std::unique_ptr<RecordSink>> create(const std::string& name);

    void write(const nlohmann::json& record);

private:
    RecordSink() = default;

    std::mutex m_mutex;
    std::ofstream m_file;
    std::ostream* m_out { nullptr };
};

}
