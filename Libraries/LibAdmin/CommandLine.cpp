#include <LibAdmin/CommandLine.h>
#include <LibAdmin/Commands.h>
#include <LibAdmin/JsonFields.h>
#include <LibConfig/IpAddress.h>
#include <LibCore/StatusText.h>
#include <algorithm>
#include <fmt/format.h>
#include <variant>

namespace Bergamot {

namespace {

    using CommandFunction = ExitStatus (*)(CommandContext&);

    struct CommandEntry {
        std::vector<std::string> words;
        CommandFunction run;
        bool needsEntryHost { true };
    };

    const std::vector<CommandEntry>& commandTable()
    {
        static const std::vector<CommandEntry> table {
            { { "validate" }, validate, false },
            { { "effective" }, showEffective, false },
            { { "keys" }, showKeys, false },
            { { "publish" }, publish },
            { { "status" }, showStatus },
            { { "zone" }, changeZone },
            { { "host", "list" }, listHosts },
            { { "host" }, changeHost },
            { { "job", "submit" }, submitJob },
            { { "job", "list" }, listJobs },
            { { "job", "show" }, showJob },
            { { "job", "cancel" }, cancelJob },
            { { "job", "why" }, explainJob },
            { { "explain" }, explainFromLogs, false },
            { { "terms", "show" }, showTerms },
            { { "terms", "renew" }, renewTerms },
            { { "config", "show" }, showConfig },
            { { "config", "diff" }, diffConfig },
            { { "config", "history" }, showConfigHistory },
            { { "burn" }, showBurn },
        };
        return table;
    }

    const CommandEntry* findCommand(const Arguments& arguments)
    {
        for (const auto& entry : commandTable()) {
            if (std::all_of(
                    entry.words.begin(), entry.words.end(), [&](const auto& word) { return arguments.has(word); }))
                return &entry;
        }
        return nullptr;
    }

    std::string optionOrVariable(
        const Arguments& arguments, const Environment& environment, const char* option, const char* variable)
    {
        auto value = arguments.text(option);
        return value.empty() ? environment.getVariable(variable) : value;
    }

    std::string trimmed(const std::string& text)
    {
        constexpr const char* space = " \t\r\n";
        auto first = text.find_first_not_of(space);
        return first == std::string::npos ? std::string {}
                                          : text.substr(first, text.find_last_not_of(space) - first + 1);
    }

    absl::StatusOr<std::vector<std::string>> parseEntries(const std::string& list)
    {
        std::vector<std::string> entries;
        for (size_t start = 0; start < list.size();) {
            auto end = std::min(list.find(',', start), list.size());
            auto entry = trimmed(list.substr(start, end - start));
            if (!isIpEndpoint(entry))
                return absl::InvalidArgumentError(fmt::format("--entry: \"{}\" is not IP:port", entry));
            entries.push_back(entry);
            start = end + 1;
        }
        if (entries.empty())
            return absl::InvalidArgumentError("no entry host is named");
        return entries;
    }

    absl::StatusOr<std::string> readToken(const Arguments& arguments, const Environment& environment)
    {
        auto file = optionOrVariable(arguments, environment, "--token-file", "BERGAMOT_TOKEN_FILE");
        if (file.empty())
            return absl::InvalidArgumentError("no token file is named");
        auto text = environment.readFile(file);
        if (!text.ok())
            return text;
        auto token = trimmed(*text);
        auto isPrintable = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
        // A line break inside the token would add a header to the request.
        if (token.empty() || !std::all_of(token.begin(), token.end(), isPrintable))
            return absl::InvalidArgumentError(fmt::format("{} does not hold one token of printable characters", file));
        return token;
    }

    /// The client of commands that need no entry host. All requests fail.
    class UnavailableAdminClient final : public AdminClient {
    public:
        absl::StatusOr<AdminReply> send(const AdminRequest&) override
        {
            return absl::UnavailableError("no entry host is named");
        }
        std::vector<AdminReply> sendToAll(const AdminRequest&) override { return {}; }
    };

    ExitStatus runCommand(
        const CommandEntry& command, const Arguments& arguments, Environment& environment, Output& output)
    {
        ProgressReporter progress(environment.err, environment.clock);
        std::unique_ptr<AdminClient> client = std::make_unique<UnavailableAdminClient>();
        if (command.needsEntryHost) {
            auto entries = parseEntries(optionOrVariable(arguments, environment, "--entry", "BERGAMOT_ENTRY"));
            if (!entries.ok())
                return output.fail(ExitStatus::InvalidInput, statusText(entries.status()),
                    "give --entry or set BERGAMOT_ENTRY, for example --entry 10.0.1.1:8081,10.0.2.1:8081");
            auto token = readToken(arguments, environment);
            if (!token.ok())
                return output.fail(ExitStatus::InvalidInput, statusText(token.status()),
                    "give --token-file or set BERGAMOT_TOKEN_FILE");
            auto onWaiting = [&](const std::string& entry) { progress.reportWaitingFor(entry); };
            client = environment.makeClient({ .entries = *entries, .token = *token, .onWaiting = onWaiting });
        }
        AdminSession session(*client);
        CommandContext context { arguments, environment, output, progress, session };
        return command.run(context);
    }

    using ParseResult = std::variant<Arguments, ExitStatus>;

    ParseResult parse(const std::vector<std::string>& arguments, Environment& environment)
    {
        try {
            return Arguments(docopt::docopt_parse(commandLineUsage, arguments, true, true, false));
        } catch (const docopt::DocoptExitHelp&) {
            environment.out << commandLineUsage;
            return ExitStatus::Ok;
        } catch (const docopt::DocoptExitVersion&) {
            environment.out << "bergamotctl 0.1.0\n";
            return ExitStatus::Ok;
        } catch (const std::exception& error) {
            environment.err << fmt::format(
                "bergamotctl: wrong usage: {}\n  next: see bergamotctl --help\n", error.what());
            return ExitStatus::InvalidInput;
        }
    }

}

ExitStatus runCommandLine(const std::vector<std::string>& arguments, Environment& environment)
{
    auto parsed = parse(arguments, environment);
    if (auto* status = std::get_if<ExitStatus>(&parsed))
        return *status;
    const auto& values = std::get<Arguments>(parsed);
    auto format = values.text("--output");
    Output output(environment.out, environment.err, format == "json");
    if (format != "text" && format != "json")
        return output.fail(ExitStatus::InvalidInput, fmt::format("--output \"{}\" is not text or json", format),
            "see: bergamotctl --help");
    const auto* command = findCommand(values);
    if (!command)
        return output.fail(ExitStatus::InvalidInput, "no command is named", "see: bergamotctl --help");
    return runCommand(*command, values, environment, output);
}

}
