#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

using ClientId = std::string;
using JobId = std::string;
using MemberId = std::string;
using WorkerId = std::string;
using ZoneId = std::string;

/// Position of a record in a log stream; the next record to be read.
using LogPosition = uint64_t;

}
