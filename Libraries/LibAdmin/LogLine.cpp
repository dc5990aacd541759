#include <LibAdmin/LogLine.h>
#include <charconv>
#include <cmath>
#include <utility>

namespace Bergamot {

/// Removes a quoted or plain value from the start of the text and returns it without quotes.
static std::string consumeValue(std::string_view& text)
{
    std::string value;
    if (!text.starts_with('"')) {
        auto end = text.find(' ');
        value = text.substr(0, end);
        text.remove_prefix(std::min(text.size(), value.size()));
        return value;
    }
    size_t i = 1;
    for (; i < text.size() && text[i] != '"'; ++i) {
        if (text[i] == '\\' && i + 1 < text.size())
            ++i;
        value += text[i];
    }
    text.remove_prefix(std::min(text.size(), i + 1));
    return value;
}

std::optional<LogLine> LogLine::parse(std::string_view text)
{
    auto begin = text.find("ts=");
    if (begin == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(begin);
    LogLine line;
    while (!text.empty()) {
        auto equals = text.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string name(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        line.fields[name] = consumeValue(text);
        while (text.starts_with(' '))
            text.remove_prefix(1);
    }
    double seconds = 0;
    auto ts = line.field("ts");
    auto [end, ec] = std::from_chars(ts.data(), ts.data() + ts.size(), seconds);
    if (ec != std::errc {} || line.field("event").empty())
        return std::nullopt;
    constexpr double msPerSecond = 1000;
    line.atMs = std::llround(seconds * msPerSecond);
    line.process = line.field("process");
    line.event = line.field("event");
    for (const auto* name : { "ts", "level", "process", "event" })
        line.fields.erase(name);
    return line;
}

std::string LogLine::field(const std::string& name) const
{
    auto it = fields.find(name);
    return it == fields.end() ? std::string {} : it->second;
}

int64_t LogLine::number(const std::string& name) const
{
    auto text = field(name);
    int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}
