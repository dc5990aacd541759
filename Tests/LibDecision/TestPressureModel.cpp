#include <CppUTest/TestHarness.h>
#include <LibDecision/PressureModel.h>
#include <LibPlatform/RecordLimits.h>
#include <LibWire/ValueCodec.h>
#include <cmath>
#include <random>
#include <string>

using namespace Bergamot;

/// Simulates serving tasks with a varying load beside best-effort tasks, of which only "heavy" slows down "sensitive".
TEST_GROUP(PressureModel)
{
    static constexpr double truePressure = 5;
    PressureModel model;
    BestEffortImage heavy { model.bestEffortImage("heavy") };
    BestEffortImage light { model.bestEffortImage("light") };
    ServingImage sensitive { model.servingImage("sensitive") };
    ServingImage tolerant { model.servingImage("tolerant") };
    std::mt19937 random { 7 };
    Instant now { Milliseconds { 1000 } };

    static double pressureOn(PressureModel & other)
    {
        return other.pressure(other.bestEffortImage("heavy"), other.servingImage("sensitive"));
    }

    void simulateSeconds(int seconds)
    {
        std::uniform_real_distribution<double> share { 0, 0.1 };
        double sensitiveLoad = 0.4;
        double tolerantLoad = 0.4;
        for (int i = 0; i < 2 * seconds; ++i) {
            now += Milliseconds { 500 };
            double own = 0.35 + 0.15 * std::sin(i * 0.3);
            PressureModel::Shares shares { 0, share(random), share(random) };
            double utilisation = std::min(0.95, own + truePressure * shares[static_cast<size_t>(heavy)]);
            model.observe(sensitive, std::round(4 / (1 - utilisation)), shares, sensitiveLoad, now);
            model.observe(tolerant, std::round(4 / (1 - own)), shares, tolerantLoad, now);
        }
    }
};

// Guards against an interfering pair that is not detected, and against attributing load changes to harmless pairs.
TEST(PressureModel, FindsTheInterferingPair)
{
    simulateSeconds(60);
    CHECK(model.pressure(heavy, sensitive) > 0.6 * truePressure);
    CHECK(model.pressure(heavy, sensitive) < 2 * truePressure);
    CHECK(model.pressure(light, sensitive) < 0.3 * truePressure);
    CHECK(model.pressure(heavy, tolerant) < 0.3 * truePressure);
    CHECK(model.pressure(model.bestEffortImage("unseen"), tolerant) == 0);
}

// Guards against a new leader that has to learn all pressures again, at the cost of missed latency targets.
TEST(PressureModel, SuccessorRestoresLearnedPressures)
{
    simulateSeconds(60);
    PressureModel successor;
    successor.restore(model.save());
    DOUBLES_EQUAL(model.pressure(heavy, sensitive), pressureOn(successor), 1e-9);
    DOUBLES_EQUAL(
        model.utilisationAt(sensitive, 8), successor.utilisationAt(successor.servingImage("sensitive"), 8), 1e-9);
    double load = 0.4;
    PressureModel::Shares shares(static_cast<size_t>(successor.bestEffortImage("light")) + 1, 0);
    shares.back() = 0.05;
    successor.observe(successor.servingImage("sensitive"), 8, shares, load, now);
    CHECK(pressureOn(successor) > 0.6 * truePressure);
}

// Guards against reads and writes beyond the known images, which ended the process.
TEST(PressureModel, NumbersThatWereNotAssignedPressNothing)
{
    constexpr uint32_t maxNumber { 0xffffffff };
    for (auto number : { uint32_t { 2 }, uint32_t { 33 }, maxNumber }) {
        double load = 0.4;
        model.observe(ServingImage { number }, 8, { 0, 0.5, 0.5 }, load, now);
        DOUBLES_EQUAL(0.4, load, 1e-9);
        CHECK(model.utilisationAt(ServingImage { number }, 8) == 0);
        CHECK(model.pressure(heavy, ServingImage { number }) == 0);
        CHECK(model.pressure(BestEffortImage { number }, ServingImage { number }) == 0);
    }
    simulateSeconds(1);
    CHECK(model.pressure(BestEffortImage { maxNumber }, sensitive) == 0);
}

// Guards against a record of many images that the store refuses, and against a model that grows without limit.
TEST(PressureModel, SavedRecordIsBoundedAndKeepsTheHighestPressures)
{
    constexpr size_t nameBytes { 1000 };
    constexpr int servingImages { 300 };
    auto nameOf = [](int i) { return std::to_string(i) + std::string(nameBytes, 'n'); };
    for (int i = 0; i < 40; ++i)
        model.bestEffortImage(nameOf(i));
    simulateSeconds(60);
    PressureModel::Shares shares(33, 0.05);
    for (int i = 0; i < servingImages; ++i) {
        double load = 0;
        model.observe(model.servingImage(nameOf(i)), 4, shares, load, now);
        now += Milliseconds { 600 };
        model.observe(model.servingImage(nameOf(i)), 8, shares, load, now);
    }
    simulateSeconds(1);
    CHECK_TRUE(model.servingImage("one more") == ServingImage::Untracked);
    auto record = model.save();
    CHECK(encodeValue(record).size() < defaultMaxRecordBytes);
    CHECK_FALSE(record.pairs.empty());
    PressureModel successor;
    successor.restore(record);
    DOUBLES_EQUAL(model.pressure(heavy, sensitive), pressureOn(successor), 1e-9);
}
