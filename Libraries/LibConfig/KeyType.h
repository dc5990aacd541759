#pragma once

#include <cstdint>

namespace Bergamot {

/// The form of a configuration value.
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
