#pragma once

#include <LibHttp/HttpHeader.h>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Header lines in order of arrival.
using HttpHeaders = std::vector<HttpHeader>;

/// Returns the value of the first header with this name, ignoring case, or an empty string.
std::string_view headerValue(const HttpHeaders&, std::string_view name);

}
