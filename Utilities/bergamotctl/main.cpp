#include <LibAdmin/CommandLine.h>
#include <LibAdmin/CurlAdminClient.h>
#include <LibCore/SteadyClock.h>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

using namespace Bergamot;

static absl::StatusOr<std::string> readFile(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    text << file.rdbuf();
    std::error_code ec;
    // Copying an empty file sets the failbit of the output stream, so only the input stream is examined. A directory
    // can be opened but not read.
    if (!file.is_open() || file.bad() || std::filesystem::is_directory(path, ec))
        return absl::NotFoundError(fmt::format("{}: the file cannot be read", path));
    return text.str();
}

static std::string getVariable(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value ? value : "";
}

static std::string generateUniqueId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}", device(), device(), device());
}

int main(int argc, char** argv)
{
    SteadyClock clock;
    Environment environment { .out = std::cout,
        .err = std::cerr,
        .clock = clock,
        .sleep = [](Milliseconds duration) { std::this_thread::sleep_for(duration); },
        .readFile = readFile,
        .getVariable = getVariable,
        .makeClient = [](AdminClientOptions options) { return std::make_unique<CurlAdminClient>(std::move(options)); },
        .generateUniqueId = generateUniqueId };
    return static_cast<int>(runCommandLine({ argv + 1, argv + argc }, environment));
}
