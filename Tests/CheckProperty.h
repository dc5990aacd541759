#pragma once

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <rapidcheck.h>

/// Checks a RapidCheck property with a fixed seed, so that all runs give the same result. The environment
/// variable RC_PARAMS overrides the seed. Must be called before any other use of RapidCheck in the process.
template <typename Property> void checkProperty(const char* description, Property&& property)
{
    setenv("RC_PARAMS", "seed=20240607", 0);
    CHECK_TRUE_TEXT(rc::check(description, std::forward<Property>(property)), description);
}
