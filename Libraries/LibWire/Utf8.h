#pragma once

#include <string_view>

namespace Bergamot {

/// Whether the text is valid UTF-8 as RFC 3629 defines it. Other text cannot be sent in a JSON document.
bool isUtf8(std::string_view);

}
