#include "NodeDecoders.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Bergamot;

using NamedInputs = std::vector<std::pair<std::string, std::string>>;

/// The inputs that the fuzzer has found to reach other code than the seeds. Each line of the file has the bytes of one
/// input as hexadecimal digits.
static NamedInputs readCorpus()
{
    NamedInputs inputs;
    std::ifstream file(BERGAMOT_FUZZ_CORPUS);
    for (std::string line; std::getline(file, line);) {
        std::string input;
        for (size_t i = 0; i + 1 < line.size(); i += 2)
            input += static_cast<char>(std::stoi(line.substr(i, 2), nullptr, 16));
        inputs.emplace_back(fmt::format("corpus-{:04}", inputs.size()), std::move(input));
    }
    return inputs;
}

static NamedInputs readInputs()
{
    auto inputs = nodeDecoderSeeds();
    std::ranges::move(readCorpus(), std::back_inserter(inputs));
    return inputs;
}

/// Changes, inserts, repeats or removes a few bytes after the one that selects the decoder.
static std::string mutate(std::string input, const NamedInputs& inputs, std::mt19937_64& random)
{
    for (auto n = random() % 4 + 1; n > 0 && input.size() > 1; --n) {
        auto at = 1 + random() % (input.size() - 1);
        const auto& other = inputs[random() % inputs.size()].second;
        switch (random() % 5) {
        case 0:
            input[at] = static_cast<char>(random());
            break;
        case 1:
            input.insert(at, 1, static_cast<char>(random()));
            break;
        case 2:
            input.erase(at, random() % 4 + 1);
            break;
        case 3:
            input.insert(at, input.substr(random() % input.size(), random() % 16));
            break;
        default:
            input.insert(at, other.substr(random() % other.size(), random() % 16));
        }
    }
    return input;
}

TEST_GROUP(NodeDecoders) {};

// Guards against input of the saved corpus that ends the process, or that passes a check which it should not.
TEST(NodeDecoders, CorpusIsDecodedOrRefused)
{
    std::set<int> accepted;
    for (const auto& [name, input] : readInputs()) {
        if (decodeNodeInput(input))
            accepted.insert(input[0]);
    }
    CHECK_EQUAL_TEXT(nodeDecoderCount(), accepted.size(), "there is no valid input for a decoder");
}

// Guards against nearly valid input that ends the process, or that passes a check which it should not.
TEST(NodeDecoders, MutatedCorpusIsDecodedOrRefused)
{
    constexpr int rounds = 150'000;
    std::mt19937_64 random(20261204);
    const auto inputs = readInputs();
    int accepted = 0;
    for (int i = 0; i < rounds; ++i)
        accepted += decodeNodeInput(mutate(inputs[random() % inputs.size()].second, inputs, random)) ? 1 : 0;
    CHECK_TEXT(accepted > rounds / 50, "the mutations are too strong to reach the fields");
}

// Guards against a saved corpus that is not found, and against inputs that the fuzzer does not get: with
// BERGAMOT_FUZZ_SEEDS, they are written to that folder.
TEST(NodeDecoders, InputsOfTheFuzzerHaveDifferentNames)
{
    CHECK_FALSE(readCorpus().empty());
    std::set<std::string> names;
    const char* folder = std::getenv("BERGAMOT_FUZZ_SEEDS");
    for (const auto& [name, input] : readInputs()) {
        CHECK_TEXT(names.insert(name).second, name.c_str());
        if (folder)
            std::ofstream(std::filesystem::path(folder) / name, std::ios::binary) << input;
    }
}
