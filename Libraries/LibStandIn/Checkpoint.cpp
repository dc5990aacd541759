#include <LibStandIn/Checkpoint.h>
#include <charconv>
#include <fmt/format.h>

namespace Bergamot {

std::string Checkpoint::text() const { return fmt::format("{}#{}#{}", task.job, task.attempt, progressPerMille); }

template <typename Number> static bool readNumber(std::string_view text, Number& number)
{
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

absl::StatusOr<Checkpoint> Checkpoint::parse(std::string_view text)
{
    auto last = text.rfind('#');
    auto middle = last == std::string_view::npos || last == 0 ? std::string_view::npos : text.rfind('#', last - 1);
    if (middle == std::string_view::npos)
        return absl::InvalidArgumentError("the checkpoint is not of the form job#attempt#progress");
    Checkpoint result { .task = { .job = std::string(text.substr(0, middle)) } };
    if (!readNumber(text.substr(middle + 1, last - middle - 1), result.task.attempt)
        || !readNumber(text.substr(last + 1), result.progressPerMille) || result.progressPerMille < 0
        || result.progressPerMille > 1000)
        return absl::InvalidArgumentError("the checkpoint is not of the form job#attempt#progress");
    return result;
}

}
