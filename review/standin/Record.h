#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace Review {

/// The file record.txt of a case: one line for each thing that was sent, answered or run.
class Record {
public:
    explicit Record(const std::string& path);

    void add(const std::string& line);

    /// Milliseconds since the record was opened.
    int64_t now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    int64_t m_startedAt;
};

}
