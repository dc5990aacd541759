#pragma once

#include "RecordSink.h"
#include <string>
#include <vector>

namespace Bergamot {

struct ConfigWatchOptions {
    /// Base URLs of the daemons' operator interfaces.
    std::vector<std::string> operators {};

    /// Base URLs of the daemons' caller interfaces, in the order of `operators`. Records identify a daemon by this URL.
    std::vector<std::string> entries {};
    std::string token {};
    int seconds { 10 };
};

/// Polls the configuration version of every daemon five times a second, writes one record for each successful reply,
/// and returns a summary.
nlohmann::json watchConfig(const ConfigWatchOptions&, RecordSink&);

}
