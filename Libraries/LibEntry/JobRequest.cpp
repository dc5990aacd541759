#include <LibEntry/JobRequest.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace Bergamot {

using Json = nlohmann::json;

static constexpr size_t maxNameLength = 64;
static constexpr size_t maxKeyLength = 200;
static constexpr std::array<std::string_view, 10> knownFields { "kind", "client", "team", "cpu_millis", "memory_mb",
    "accelerators", "run_ms", "urgent", "key", "deadline_ms" };

static Problem invalidField(std::string_view field, std::string detail)
{
    return { .status = 400,
        .type = "bad-request",
        .title = "The submission is not valid",
        .detail = std::move(detail),
        .field = std::string(field) };
}

namespace {

    /// Reads fields of the JSON body and keeps the problem of the first invalid field.
    class FieldReader {
    public:
        explicit FieldReader(const Json& json)
            : m_json(json)
        {
        }

        std::string readString(const char* field, size_t maxLength, bool isRequired)
        {
            auto it = m_json.find(field);
            if (it == m_json.end()) {
                if (isRequired)
                    reportProblem(field, "the field is required");
                return {};
            }
            if (!it->is_string() || it->get_ref<const std::string&>().size() > maxLength) {
                reportProblem(field, fmt::format("must be a string of at most {} bytes", maxLength));
                return {};
            }
            return it->get<std::string>();
        }

        int64_t readInteger(const char* field, int64_t fallback, int64_t max)
        {
            auto it = m_json.find(field);
            if (it == m_json.end())
                return fallback;
            // The conversion of an unsigned value above INT64_MAX to int64_t would wrap around.
            bool isInRange = it->is_number_integer() && (!it->is_number_unsigned() || it->get<uint64_t>() <= INT64_MAX)
                && it->get<int64_t>() >= 0 && it->get<int64_t>() <= max;
            if (!isInRange) {
                reportProblem(field, fmt::format("must be a whole number from 0 to {}", max));
                return fallback;
            }
            return it->get<int64_t>();
        }

        bool readBool(const char* field)
        {
            auto it = m_json.find(field);
            if (it == m_json.end())
                return false;
            if (!it->is_boolean())
                reportProblem(field, "must be true or false");
            return it->is_boolean() && it->get<bool>();
        }

        void reportProblem(std::string_view field, std::string detail)
        {
            if (!m_problem)
                m_problem = invalidField(field, std::move(detail));
        }

        const std::optional<Problem>& problem() const { return m_problem; }

    private:
        const Json& m_json;
        std::optional<Problem> m_problem;
    };

}

static void checkKnownFields(const Json& json, FieldReader& reader)
{
    for (const auto& [field, value] : json.items()) {
        if (std::find(knownFields.begin(), knownFields.end(), field) == knownFields.end())
            reader.reportProblem(field, "the field is not known");
    }
}

static void checkReferences(const JobSubmitted& job, const SiteConfig& config, FieldReader& reader)
{
    if (!config.findKind(job.kind))
        reader.reportProblem("kind", "no such job kind");
    else if (!config.findClient(job.client))
        reader.reportProblem("client", "no such client");
    else if (!config.findTeam(job.team))
        reader.reportProblem("team", "no such team");
    else if (!config.maySubmit(job.client, job.team, job.kind))
        reader.reportProblem("team", "this client and team may not submit this kind");
}

std::variant<JobSubmitted, Problem> parseJobRequest(std::string_view body, const SiteConfig& config)
{
    auto json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return invalidField("", "the body is not a JSON object in UTF-8");
    FieldReader reader(json);
    checkKnownFields(json, reader);
    JobSubmitted job {
        .kind = reader.readString("kind", maxNameLength, true),
        .team = reader.readString("team", maxNameLength, true),
        .client = reader.readString("client", maxNameLength, true),
    };
    if (!reader.problem())
        checkReferences(job, config, reader);
    if (reader.problem())
        return *reader.problem();
    const auto& kind = *config.findKind(job.kind);
    constexpr int64_t maxComponent = int64_t { 1 } << 40;
    job.size = { .cpuMillis = reader.readInteger("cpu_millis", kind.size.cpuMillis, maxComponent),
        .memoryMb = reader.readInteger("memory_mb", kind.size.memoryMb, maxComponent),
        .accelerators = reader.readInteger("accelerators", kind.size.accelerators, maxComponent) };
    job.runMs = reader.readInteger("run_ms", kind.run.count(), maxJobRunTimeMs);
    job.deadlineMs = reader.readInteger("deadline_ms", 0, INT64_MAX);
    job.priority = kind.priority;
    job.urgent = reader.readBool("urgent");
    auto key = reader.readString("key", maxKeyLength, false);
    if (!key.empty())
        job.requestKey = job.client + "/" + key;
    if (reader.problem())
        return *reader.problem();
    return job;
}

}
