#pragma once

#include <LibAdmin/AdminFailure.h>
#include <LibAdmin/ExitStatus.h>
#include <LibConfig/Findings.h>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace Bergamot {

/// Writes results to standard output, as text for people or JSON for programs, and errors to standard error.
class Output {
public:
    Output(std::ostream& out, std::ostream& err, bool asJson)
        : m_out(out)
        , m_err(err)
        , m_asJson(asJson)
    {
    }

    bool asJson() const { return m_asJson; }

    /// Writes the JSON or the text, whichever was asked for.
    void result(const nlohmann::json& json, const std::string& text);

    /// Writes a result that has its form already.
    void raw(const std::string& text);

    /// Writes an error with advice, and returns its exit status.
    ExitStatus fail(const AdminFailure& failure);
    ExitStatus fail(ExitStatus status, const std::string& message, const std::string& next);

    /// Writes what belongs to an error: the JSON to standard output, or the text to standard error.
    void errorDetail(const nlohmann::json& json, const std::string& text);

    /// Writes the findings of a configuration, and returns the exit status.
    ExitStatus findings(const Findings& findings);

private:
    std::ostream& m_out;
    std::ostream& m_err;
    bool m_asJson;
};

}
