#pragma once

#include <LibEntry/RanState.h>
#include <LibHttp/HttpResponse.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// An RFC 9457 problem document.
struct Problem {
    int status { 500 };
    std::string_view type {};
    std::string_view title {};
    std::string detail {};
    RanState ran { RanState::No };
    int retryAfterSeconds { 0 };

    /// Name of the invalid input field; empty when the problem concerns no single field.
    std::string field {};
};

HttpResponse toResponse(const Problem&);

/// Answer of a host that was paused and has not confirmed its configuration since.
HttpResponse unconfirmedConfigResponse();

}
