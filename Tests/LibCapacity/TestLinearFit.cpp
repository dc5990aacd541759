#include <CppUTest/TestHarness.h>
#include <LibCapacity/LinearFit.h>
#include <limits>

using namespace Bergamot;

TEST_GROUP(LinearFit) {};

// Guards against a wrong slope or intercept: points on a line give exactly that line and a residual of zero.
TEST(LinearFit, PointsOnALine)
{
    auto fit = fitLine({ { 1, 5 }, { 2, 7 }, { 4, 11 }, { 8, 19 } });
    CHECK(fit.ok());
    DOUBLES_EQUAL(2, fit->slope, 1e-9);
    DOUBLES_EQUAL(3, fit->intercept, 1e-9);
    DOUBLES_EQUAL(0, fit->maxRelativeResidual, 1e-9);
    DOUBLES_EQUAL(203, fit->at(100), 1e-9);
}

// Guards against a fit that uses only two of the points and against a residual that is not relative to the value.
TEST(LinearFit, ResidualIsRelativeToTheValue)
{
    auto fit = fitLine({ { 0, 1 }, { 1, 1 }, { 2, 4 } });
    CHECK(fit.ok());
    DOUBLES_EQUAL(1.5, fit->slope, 1e-9);
    DOUBLES_EQUAL(0.5, fit->intercept, 1e-9);
    DOUBLES_EQUAL(1, fit->maxRelativeResidual, 1e-9);
}

// Guards against a division by zero, and thus an infinite slope, when all sizes are equal, and against NaN values.
TEST(LinearFit, SizesAndValuesWithoutALineAreRejected)
{
    CHECK_FALSE(fitLine({}).ok());
    CHECK_FALSE(fitLine({ { 3, 1 } }).ok());
    CHECK_FALSE(fitLine({ { 3, 1 }, { 3, 2 } }).ok());
    CHECK_FALSE(fitLine({ { 1, 1 }, { 2, std::numeric_limits<double>::quiet_NaN() } }).ok());
}
