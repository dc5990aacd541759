#pragma once

#include <string>
#include <vector>

namespace Bergamot {

struct CheckOptions {
    /// Base URLs of stand-ins that serve `GET /records`.
    std::vector<std::string> recordUrls {};
    std::vector<std::string> sentFiles {};

    /// Orders as `ZONE:MILLISECONDS` that are not in the files.
    std::vector<std::string> zonesOut {};

    /// Promises whose check must have examined something.
    std::vector<std::string> required {};

    /// Prints a table for people and not JSON lines.
    bool isText { false };
};

/// Prints the totals of the run and one line for each promise. Returns the exit status: 0 without a violation, 1 with
/// one, and 2 when records cannot be read.
int runChecks(const CheckOptions&);

}
