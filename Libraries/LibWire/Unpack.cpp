#include <LibWire/Unpack.h>
#include <algorithm>
#include <cstddef>

namespace Bergamot {

static constexpr size_t maxElements = 1'000'000;
static constexpr size_t maxNesting = 16;

msgpack::object_handle unpackBounded(std::string_view bytes)
{
    // msgpack allocates an array as soon as it has read the length. Each element takes at least one byte, so an array
    // of more elements than the input has bytes is malformed. With maxElements as the only bound, 80 bytes of nested
    // array headers make msgpack allocate 380 MB.
    const auto elements = std::min(maxElements, bytes.size());
    const msgpack::unpack_limit limit(elements, elements, bytes.size(), bytes.size(), bytes.size(), maxNesting);
    size_t offset = 0;
    auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size())
        throw msgpack::type_error();
    return handle;
}

}
