#include <LibAdmin/JsonFields.h>
#include <LibAdmin/Output.h>
#include <fmt/format.h>

namespace Bergamot {

void Output::result(const nlohmann::json& json, const std::string& text)
{
    if (m_asJson)
        m_out << toText(json) << '\n';
    else
        m_out << text;
    m_out.flush();
}

void Output::raw(const std::string& text) { m_out << text << std::flush; }

ExitStatus Output::fail(const AdminFailure& failure)
{
    if (m_asJson)
        m_err << toText({ { "error", failure.message }, { "next", failure.next }, { "type", failure.type } }) << '\n';
    else
        m_err << fmt::format("bergamotctl: {}\n  next: {}\n", failure.message, failure.next);
    return failure.status;
}

ExitStatus Output::fail(ExitStatus status, const std::string& message, const std::string& next)
{
    return fail({ .status = status, .message = message, .next = next });
}

void Output::errorDetail(const nlohmann::json& json, const std::string& text)
{
    if (m_asJson)
        m_out << toText(json) << std::endl;
    else
        m_err << text;
}

ExitStatus Output::findings(const Findings& findings)
{
    auto list = nlohmann::json::array();
    for (const auto& it : findings)
        list.push_back({ { "file", it.file }, { "line", it.line }, { "key", it.key }, { "message", it.message } });
    errorDetail({ { "findings", list } }, describeFindings(findings));
    return fail(ExitStatus::Findings,
        fmt::format("{} {}", findings.size(), findings.size() == 1 ? "finding" : "findings"),
        "correct the keys above; docs/configuration.md and `bergamotctl keys` describe them");
}

}
