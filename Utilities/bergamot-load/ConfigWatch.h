#pragma once

#include "RecordSink.h"
#include <string>
#include <vector>

namespace Bergamot {

struct ConfigWatchOptions {
    std::vector<std::string> operators {};
    /// Base URLs of the callers' interface in the same order, to which the records refer.
    std::vector<std::string> entries {};
    std::string token {};
    int seconds { 10 };
};

/// Asks every daemon for its configuration version five times a second, writes what it sees and returns a summary.
nlohmann::json watchConfig(const ConfigWatchOptions&, RecordSink&);

}
