#pragma once

#include <LibCore/Time.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Bergamot {

/// The log that a node process writes to a file.
class NodeLog {
public:
    explicit NodeLog(std::string path)
        : m_path(std::move(path))
    {
    }

    /// Unix times of all lines of the event so far, in order.
    std::vector<Milliseconds> timesOf(std::string_view event) const;

private:
    std::string m_path;
};

}
