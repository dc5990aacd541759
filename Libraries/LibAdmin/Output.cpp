#include <LibAdmin/JsonFields.h>
#include <LibAdmin/Output.h>
#include <fmt/format.h>

namespace Bergamot {

void Output::writeResult(const nlohmann::json& json, const std::string& text)
{
    if (m_isJson)
        m_out << toText(json) << '\n';
    else
        m_out << text;
    m_out.flush();
}

void Output::writeRaw(const std::string& text) { m_out << text << std::flush; }

ExitStatus Output::fail(const AdminFailure& failure)
{
    if (m_isJson)
        m_err << toText({ { "error", failure.message }, { "next", failure.next }, { "type", failure.type } }) << '\n';
    else
        m_err << fmt::format("bergamotctl: {}\n  next: {}\n", failure.message, failure.next);
    return failure.status;
}

ExitStatus Output::fail(ExitStatus status, const std::string& message, const std::string& next)
{
    return fail({ .status = status, .message = message, .next = next });
}

void Output::writeErrorDetail(const nlohmann::json& json, const std::string& text)
{
    if (m_isJson)
        m_out << toText(json) << std::endl;
    else
        m_err << text;
}

ExitStatus Output::reportFindings(const Findings& findings)
{
    auto list = nlohmann::json::array();
    for (const auto& it : findings)
        list.push_back({ { "file", it.file }, { "line", it.line }, { "key", it.key }, { "message", it.message } });
    writeErrorDetail({ { "findings", list } }, describeFindings(findings));
    return fail(ExitStatus::InvalidInput,
        fmt::format("{} {}", findings.size(), findings.size() == 1 ? "finding" : "findings"),
        "correct the keys above; docs/configuration.md and `bergamotctl keys` describe them");
}

}
