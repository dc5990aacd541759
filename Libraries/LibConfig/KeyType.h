#pragma once

#include <cstdint>

namespace Bergamot {

/// The type of a configuration value, including its syntax for strings.
enum class KeyType : uint8_t {
    Integer,
    Number,
    Boolean,
    Choice,
    Name,
    NameList,
    TermsList,
    Path,
    Address,
    AddressList,
    Url,
};

}
