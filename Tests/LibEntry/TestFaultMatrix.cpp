#include "FaultCell.h"
#include <CppUTest/TestHarness.h>
#include <LibCore/Logger.h>
#include <cstdio>
#include <fmt/format.h>

using namespace Bergamot;

TEST_GROUP(FaultMatrix) { void setup() override { Logger::the().setLevel(LogLevel::Error);
}
void teardown() override { Logger::the().setLevel(LogLevel::Info); }
}
;

// Guards against a fault at any step that breaks P1 to P4 or P10, loses a job or lets members differ.
TEST(FaultMatrix, EveryFaultAtEveryStep)
{
    std::string failures;
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
        fmt::print("| {} |{}\n", fault.name, row);
    }
    std::fflush(stdout);
    STRCMP_EQUAL("", failures.c_str());
}
