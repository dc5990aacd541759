#pragma once

#include <cstdio>
#include <cstdlib>

/// Aborts the process when an invariant of the program is violated. Not for validation of input.
#define VERIFY(expression)                                                                                             \
    do {                                                                                                               \
        if (!(expression)) [[unlikely]] {                                                                              \
            std::fprintf(                                                                                              \
                stderr, "event=invariant_broken check=\"%s\" file=%s line=%d\n", #expression, __FILE__, __LINE__);     \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
