#include <CppUTest/TestHarness.h>
#include <LibCapacity/LinearFit.h>
#include <limits>

using namespace Bergamot;

TEST_GROUP(LinearFit) {};

// Guards against a wrong slope: points on a line give that line and no residual.
TEST(LinearFit, PointsOnALine)
{
    auto fit = fitLine({ { 1, 5 }, { 2, 7 }, { 4, 11 }, { 8, 19 } });
    CHECK(fit.ok());
    DOUBLES_EQUAL(2, fit->slope, 1e-9);
    DOUBLES_EQUAL(3, fit->intercept, 1e-9);
    DOUBLES_EQUAL(0, fit->largestResidual, 1e-9);
    DOUBLES_EQUAL(203, fit->at(100), 1e-9);
}

// Guards against a fit through two points only and against a residual that is not relative to the value.
TEST(LinearFit, ResidualIsRelativeToTheValue)
{
    auto fit = fitLine({ { 0, 1 }, { 1, 1 }, { 2, 4 } });
    CHECK(fit.ok());
    DOUBLES_EQUAL(1.5, fit->slope, 1e-9);
    DOUBLES_EQUAL(0.5, fit->intercept, 1e-9);
    DOUBLES_EQUAL(1, fit->largestResidual, 1e-9);
}

// Guards against a division by zero that would print an infinite slope.
TEST(LinearFit, ASizeOrAValueThatGivesNoLineIsRefused)
{
    CHECK_FALSE(fitLine({}).ok());
    CHECK_FALSE(fitLine({ { 3, 1 } }).ok());
    CHECK_FALSE(fitLine({ { 3, 1 }, { 3, 2 } }).ok());
    CHECK_FALSE(fitLine({ { 1, 1 }, { 2, std::numeric_limits<double>::quiet_NaN() } }).ok());
}
