#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <docopt/docopt.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// The parsed command line.
class Arguments {
public:
    explicit Arguments(std::map<std::string, docopt::value> values)
        : m_values(std::move(values))
    {
    }

    /// True when the command word or switch was given.
    bool has(const std::string& name) const;
    /// The text of an option or argument; empty when it was not given.
    std::string text(const std::string& name) const;
    /// The values of an argument that may be repeated.
    std::vector<std::string> list(const std::string& name) const;
    /// A whole number of at least 0, or nothing when it was not given. Fails when the text is no such number.
    absl::StatusOr<std::optional<int64_t>> number(const std::string& name) const;

private:
    std::map<std::string, docopt::value> m_values;
};

/// A whole number of at least 0 and at most 2^53, which is exact in JSON.
std::optional<int64_t> parseNumber(const std::string& text);

}
