#pragma once

#include <string>

namespace Bergamot {

/// One header line. headerValue() ignores the case of names; operator== does not.
struct HttpHeader {
    std::string name {};
    std::string value {};

    bool operator==(const HttpHeader&) const = default;
};

}
