#pragma once

#include <string>
#include <vector>

namespace Bergamot {

struct CheckOptions {
    /// Base URLs of the stand-ins from which `GET /records` returns the records to check.
    std::vector<std::string> recordUrls {};

    /// Files with records of the load commands; `-` is standard input.
    std::vector<std::string> sentFiles {};

    /// Removals of zones from service that the files do not contain, as `ZONE:MILLISECONDS`.
    std::vector<std::string> zoneRemovals {};

    /// Promises whose check fails unless it examined at least one case.
    std::vector<std::string> requiredPromises {};

    /// Prints a table instead of JSON lines.
    bool printsTable { false };
};

/// Prints the totals of the run and the check result of each promise. Returns the exit status: 0 when all checks pass,
/// 1 when a check finds a violation or a required check examined no case, and 2 when records cannot be read.
int runChecks(const CheckOptions&);

}
