#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <docopt/docopt.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// The parsed arguments of the command line.
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
    /// Returns the whole number of an option, or nullopt when it was not given. Fails with kInvalidArgument when the
    /// value is not a whole number from 0 to 2^53.
    absl::StatusOr<std::optional<int64_t>> number(const std::string& name) const;

private:
    std::map<std::string, docopt::value> m_values;
};

/// Parses a whole number from 0 to 2^53, the range that is exact in JSON. Returns nullopt for any other text.
std::optional<int64_t> parseWholeNumber(const std::string& text);

}
