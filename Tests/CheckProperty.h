#pragma once

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <rapidcheck.h>

/// Checks a RapidCheck property with a fixed seed, so that every run gives the same verdict. RC_PARAMS in the
/// environment overrides the seed. Must be called before any other use of RapidCheck in the process.
template <typename Property> void checkProperty(const char* description, Property&& property)
{
    setenv("RC_PARAMS", "seed=20240607", 0);
    CHECK_TRUE_TEXT(rc::check(description, std::forward<Property>(property)), description);
}
