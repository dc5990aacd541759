#include "RecordSink.h"
#include <fmt/format.h>
#include <iostream>

namespace Bergamot {

absl::StatusOr<std::unique_ptr<RecordSink>> RecordSink::create(const std::string& name)
{
    std::unique_ptr<RecordSink> sink(new RecordSink());
    if (name == "-")
        sink->m_out = &std::cout;
    if (name.empty() || name == "-")
        return sink;
    sink->m_file.open(name, std::ios::app);
    if (!sink->m_file)
        return absl::UnavailableError(fmt::format("cannot open {}", name));
    sink->m_out = &sink->m_file;
    return sink;
}

void RecordSink::write(const nlohmann::json& record)
{
    if (!m_out)
        return;
    // Writes each line in a single call, so that several processes can append to the same file.
    auto line = record.dump() + "\n";
    std::lock_guard lock(m_mutex);
    *m_out << line << std::flush;
}

}
