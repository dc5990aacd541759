#include <PlatformAdapter/NodeDecoders.h>
#include <cstddef>
#include <cstdint>

// Guards against input from outside that ends a node, or that passes a check which it should not. libFuzzer calls this
// function with each generated input.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    Bergamot::decodeNodeInput({ reinterpret_cast<const char*>(data), size });
    return 0;
}
