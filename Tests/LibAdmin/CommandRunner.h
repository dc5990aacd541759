#pragma once

#include "MockAdminClient.h"
#include <LibAdmin/CommandLine.h>
#include <iterator>
#include <sstream>

namespace Bergamot {

/// Runs bergamotctl in virtual time with a mock entry host and files in memory.
class CommandRunner {
public:
    struct Result {
        int status { 0 };
        std::string out {};
        std::string err {};
    };

    MockEntryHost mock {};
    std::map<std::string, std::string> files { { "token", "secret\n" } };
    std::map<std::string, std::string> variables { { "BERGAMOT_ENTRY", "127.0.0.1:8081" },
        { "BERGAMOT_TOKEN_FILE", "token" }, { "USER", "anna" } };
    AdminClientOptions lastOptions {};

    Result run(const std::vector<std::string>& arguments)
    {
        std::ostringstream out;
        std::ostringstream err;
        Environment environment { .out = out,
            .err = err,
            .clock = m_clock,
            .sleep = [this](Milliseconds duration) { m_clock.time += duration; },
            .readFile = [this](const std::string& path) -> absl::StatusOr<std::string> {
                if (auto it = files.find(path); it != files.end())
                    return it->second;
                return absl::NotFoundError(path);
            },
            .getVariable = [this](const std::string& name) { return variables[name]; },
            .makeClient =
                [this](AdminClientOptions options) {
                    lastOptions = std::move(options);
                    return std::make_unique<MockAdminClient>(mock);
                },
            .generateUniqueId = [] { return std::string("unique"); } };
        auto status = runCommandLine(arguments, environment);
        return { .status = static_cast<int>(status), .out = out.str(), .err = err.str() };
    }

    /// Splits the arguments at blanks.
    Result runLine(const std::string& line)
    {
        std::istringstream words(line);
        return run({ std::istream_iterator<std::string>(words), {} });
    }

private:
    struct ManualClock final : Clock {
        Instant time { epochInstant };
        Instant now() const override { return time; }
    };

    ManualClock m_clock;
};

}
