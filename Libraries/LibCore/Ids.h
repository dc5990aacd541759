#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

using ClientId = std::string;
using JobId = std::string;
using MemberId = std::string;
using WorkerId = std::string;
using ZoneId = std::string;

/// Offset of a record in a log stream. The position of a reader is the offset of the next record to read.
using LogPosition = uint64_t;

}
