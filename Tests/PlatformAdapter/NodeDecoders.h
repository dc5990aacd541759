#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Bergamot {

/// Passes all but the first byte of the input to the decoder that the first byte selects, and checks what it accepts: a
/// value must be within its limits, and must be the same after it was encoded and decoded again. Returns whether the
/// input was accepted. Everything that the node decodes is here, except what goes through pistache, curl and nng.
bool decodeNodeInput(std::string_view);

/// Number of decoders that decodeNodeInput() selects from.
size_t nodeDecoderCount();

/// Valid and hostile inputs of decodeNodeInput(), with a file name for each.
std::vector<std::pair<std::string, std::string>> nodeDecoderSeeds();

}
