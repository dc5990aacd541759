#include <CppUTest/TestHarness.h>
#include <LibDecision/InterferenceModel.h>
#include <random>

using namespace Bergamot;

TEST_GROUP(InterferenceModel)
{
    static constexpr KindIndex service = 0;
    static constexpr KindIndex mild = 1;
    static constexpr KindIndex harsh = 2;

    std::mt19937_64 random { 42 };
    Instant now {};

    void observe(InterferenceModel & model, int count, double mildRate, double harshRate, double noise)
    {
        std::normal_distribution<double> error { 0, noise };
        for (int n = 0; n < count; ++n) {
            now += Milliseconds { 5'000 };
            std::vector<Neighbour> neighbours { { mild, 0.1f * static_cast<float>(n % 5) },
                { harsh, 0.1f * static_cast<float>(n % 3) } };
            double ratio = 1 + neighbours[0].share * mildRate + neighbours[1].share * harshRate + error(random);
            model.observe(service, neighbours, 0.5, ratio, now);
        }
    }

    static double rate(const InterferenceModel& model, KindIndex kind, double load = 0.5)
    {
        return model.estimatePair(service, { kind, 1.0f }, load).mean;
    }
};

// Guards against treating an unknown pair as harmless.
TEST(InterferenceModel, UnknownPairIsUncertain)
{
    InterferenceModel model;
    CHECK(model.estimatePair(service, { harsh, 1.0f }, 0.5).deviation > 0.3);
}

// Guards against attributing the slowdown to the wrong one of two neighbours.
TEST(InterferenceModel, SeparatesTwoNeighbours)
{
    InterferenceModel model;
    observe(model, 300, 0.05, 1.5, 0.04);
    DOUBLES_EQUAL(0.05, rate(model, mild), 0.08);
    DOUBLES_EQUAL(1.5, rate(model, harsh), 0.15);
    CHECK(model.estimatePair(service, { harsh, 1.0f }, 0.5).deviation < 0.15);
}

// Guards against estimates that don't follow when a kind changes its behaviour.
TEST(InterferenceModel, FollowsAShiftOfBehaviour)
{
    InterferenceModel model;
    observe(model, 300, 0.05, 0.05, 0.04);
    observe(model, 150, 0.05, 1.5, 0.04);
    CHECK(model.shiftCount() > 0);
    DOUBLES_EQUAL(1.5, rate(model, harsh), 0.3);
}

// Guards against treating a series of noisy reports as a shift of behaviour.
TEST(InterferenceModel, KeepsEstimateThroughNoisyReports)
{
    InterferenceModel model;
    observe(model, 300, 0.05, 1.0, 0.04);
    observe(model, 30, 0.05, 1.0, 0.2);
    UNSIGNED_LONGS_EQUAL(0, model.shiftCount());
    DOUBLES_EQUAL(1.0, rate(model, harsh), 0.25);
}

// Guards against a single outlier that moves an estimate far.
TEST(InterferenceModel, ClipsOutlierReport)
{
    InterferenceModel model;
    observe(model, 300, 0.05, 0.2, 0.04);
    model.observe(service, { { harsh, 0.2f } }, 0.5, 50.0, now);
    CHECK(rate(model, harsh) < 0.5);
}

// Guards against a common estimate for all load levels.
TEST(InterferenceModel, LearnsLoadLevelsApart)
{
    InterferenceModel model;
    for (int n = 0; n < 200; ++n) {
        bool high = n % 2 == 0;
        model.observe(service, { { harsh, 0.3f } }, high ? 0.9 : 0.2, high ? 1.6 : 1.06, now);
    }
    CHECK(rate(model, harsh, 0.9) > 4 * rate(model, harsh, 0.2));
}
