#include <LibAdmin/Commands.h>
#include <LibAdmin/JobLogAnalysis.h>
#include <LibAdmin/JsonFields.h>
#include <LibCore/StatusText.h>
#include <fmt/format.h>
#include <iterator>
#include <sstream>

namespace Bergamot {

using Json = nlohmann::json;

static std::string lineText(const LogLine& line, int64_t firstMs)
{
    constexpr double msPerSecond = 1000;
    auto text = fmt::format(
        "{:>9.3f} s  {}  {}", static_cast<double>(line.atMs - firstMs) / msPerSecond, line.process, line.event);
    for (const auto& [name, value] : line.fields) {
        if (name != "job")
            fmt::format_to(std::back_inserter(text), " {}={}", name, value);
    }
    return text + "\n";
}

static std::string listText(const char* title, const std::vector<std::string>& items)
{
    if (items.empty())
        return {};
    auto text = fmt::format("{}:\n", title);
    for (const auto& item : items)
        fmt::format_to(std::back_inserter(text), "  {}\n", item);
    return text;
}

ExitStatus explainFromLogs(CommandContext& context)
{
    auto job = context.arguments.text("JOB");
    std::vector<LogLine> lines;
    for (const auto& file : context.arguments.list("LOG")) {
        auto content = context.environment.readFile(file);
        if (!content.ok())
            return context.output.fail(
                ExitStatus::InvalidInput, statusText(content.status()), "check the path of the log");
        std::istringstream stream(*content);
        for (std::string text; std::getline(stream, text);) {
            if (auto line = LogLine::parse(text))
                lines.push_back(std::move(*line));
        }
    }
    JobLogAnalysis analysis(job, std::move(lines));
    if (analysis.lines().empty())
        return context.output.fail(ExitStatus::Failed, fmt::format("no line of the logs names job {}", job),
            "add the logs of the other hosts; - reads standard input");
    std::string text;
    Json list = Json::array();
    for (const auto& line : analysis.lines()) {
        text += lineText(line, analysis.lines().front().atMs);
        list.push_back({ { "at_ms", line.atMs }, { "process", line.process }, { "event", line.event },
            { "fields", line.fields } });
    }
    text += listText("cause", analysis.causes());
    text += listText("missing", analysis.missing());
    context.output.writeResult(
        { { "job", job }, { "lines", list }, { "causes", analysis.causes() }, { "missing", analysis.missing() } },
        text);
    return ExitStatus::Ok;
}

}
