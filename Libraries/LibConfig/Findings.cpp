#include <LibConfig/Findings.h>
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

namespace {

    /// Replaces control characters with `?`. Messages quote keys and values of the input, and control characters in
    /// them would be interpreted by a terminal.
    std::string printable(std::string text)
    {
        std::replace_if(
            text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
        return text;
    }

}

std::string describeFindings(const Findings& findings)
{
    std::string text;
    for (const auto& finding : findings) {
        std::string line;
        if (!finding.file.empty())
            line += finding.line > 0 ? fmt::format("{}:{}: ", finding.file, finding.line) : finding.file + ": ";
        if (!finding.key.empty())
            line += finding.key + ": ";
        text += printable(line + finding.message) + "\n";
    }
    return text;
}

void sortFindings(Findings& findings)
{
    std::sort(findings.begin(), findings.end());
    findings.erase(std::unique(findings.begin(), findings.end()), findings.end());
}

}
