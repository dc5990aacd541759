#pragma once

#include <cstdint>
#include <fstream>
#include <string>

namespace Review {

/// Milliseconds since 1970.
int64_t unixMs();

/// What was sent, answered and run, one line each, with the milliseconds since the start of the script.
class Record {
public:
    explicit Record(const std::string& path);

    void add(const std::string& text);

    /// Notes that a rule was broken.
    void addViolation(const std::string& text);
    int violations() const { return m_violations; }
    int64_t elapsedMs() const;

private:
    std::ofstream m_out;
    int64_t m_startedAt { 0 };
    int m_violations { 0 };
};

}
