#pragma once

#include <msgpack.hpp>
#include <string_view>

namespace Bergamot {

/// Unpacks one msgpack value that takes up all bytes. Throws a msgpack exception for malformed input, for input whose
/// nesting is too deep, and for arrays that announce more elements than the input can hold.
msgpack::object_handle unpackBounded(std::string_view bytes);

}
