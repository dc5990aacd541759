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
    Output(std::ostream& out, std::ostream& err, bool isJson)
        : m_out(out)
        , m_err(err)
        , m_isJson(isJson)
    {
    }

    bool isJson() const { return m_isJson; }

    /// Writes the JSON or the text, as --output selects.
    void writeResult(const nlohmann::json& json, const std::string& text);

    /// Writes a result that is already formatted.
    void writeRaw(const std::string& text);

    /// Writes an error with a suggested action, and returns its exit status.
    ExitStatus fail(const AdminFailure& failure);
    ExitStatus fail(ExitStatus status, const std::string& message, const std::string& next);

    /// Writes the details of an error: the JSON to standard output, or the text to standard error.
    void writeErrorDetail(const nlohmann::json& json, const std::string& text);

    /// Writes the findings of a configuration, and returns the exit status.
    ExitStatus reportFindings(const Findings& findings);

private:
    std::ostream& m_out;
    std::ostream& m_err;
    bool m_isJson;
};

}
