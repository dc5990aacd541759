#include "Record.h"
#include <chrono>
#include <iostream>

namespace Review {

int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

static int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

Record::Record(const std::string& path)
    : m_out(path)
    , m_startedAt(steadyMs())
{
}

int64_t Record::elapsedMs() const { return steadyMs() - m_startedAt; }

void Record::add(const std::string& text) { m_out << elapsedMs() << " " << text << std::endl; }

void Record::addViolation(const std::string& text)
{
    constexpr int maxPrinted = 20;
    add("VIOLATION " + text);
    if (++m_violations <= maxPrinted)
        std::cout << elapsedMs() << " VIOLATION " << text << std::endl;
}

}
