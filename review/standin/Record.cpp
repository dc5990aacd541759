#include "Record.h"
#include "Http.h"
#include <cstdio>

namespace Review {

Record::Record(const std::string& path)
    : m_file(path, std::ios::trunc)
    , m_startedAt(steadyMs())
{
}

int64_t Record::now() const { return steadyMs() - m_startedAt; }

void Record::add(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f s  ", static_cast<double>(now()) / 1000);
    std::scoped_lock lock(m_mutex);
    m_file << time << line << '\n' << std::flush;
}

}
