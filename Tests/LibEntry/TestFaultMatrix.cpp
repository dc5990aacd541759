#include "FaultCell.h"
#include <CppUTest/TestHarness.h>
#include <LibCore/Logger.h>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

using namespace Bergamot;

TEST_GROUP(FaultMatrix) { void setup() override { Logger::the().setLevel(LogLevel::Error);
}
void teardown() override { Logger::the().setLevel(LogLevel::Info); }
}
;

/// The sections of the page after the matrix, which are written by hand.
static std::string laterSections(const char* path)
{
    std::ifstream file(path);
    std::string page { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    auto begin = page.find("\n## ");
    return begin == std::string::npos ? std::string {} : page.substr(begin);
}

// Guards against a fault at any step that violates P1 to P4, P7 or P10, loses a job or makes the states of members
// differ.
TEST(FaultMatrix, EveryFaultAtEveryStep)
{
    std::string failures;
    std::string page = "# Fault matrix\n\nWritten by `BERGAMOT_FAULT_MATRIX_PAGE=docs/fault-matrix.md "
                       "Build/TestLibEntry -g FaultMatrix`.\n"
                       "A step that the scenario does not reach has no verdict.\n\n| fault |";
    std::string rule = "|---|";
    for (const auto& name : stepNames) {
        page += fmt::format(" {} |", name);
        rule += "---|";
    }
    page += "\n" + rule + "\n";
    for (const auto& fault : allFaults()) {
        std::string row;
        for (size_t i = 0; i < stepNames.size(); ++i) {
            auto cell = runCell(static_cast<Step>(i), &fault);
            const char* verdict = cell.stepReached ? "passed" : "not reached";
            if (!cell.violations.empty()) {
                verdict = "FAILED";
                failures += fmt::format("{} at '{}': {}", fault.name, stepNames[i], cell.violations);
            }
            row += fmt::format(" {} |", verdict);
        }
        page += fmt::format("| {} |{}\n", fault.name, row);
    }
    std::cout << page << std::flush;
    if (const char* path = std::getenv("BERGAMOT_FAULT_MATRIX_PAGE")) {
        auto sections = laterSections(path);
        std::ofstream(path) << page << sections;
    }
    STRCMP_EQUAL("", failures.c_str());
}
