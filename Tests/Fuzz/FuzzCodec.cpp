#include <LibCore/Verify.h>
#include <LibWire/Codec.h>

using namespace Bergamot;

// Guards against input that crashes a decoder, or that decodes to a value which changes when it is encoded and decoded
// again. libFuzzer calls this function with each generated input.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (auto batch = decodeBatch(bytes); batch.ok()) {
        auto again = decodeBatch(encodeBatch(*batch));
        VERIFY(again.ok());
        VERIFY(*again == *batch);
    }
    if (auto message = decodePeerMessage(bytes); message.ok()) {
        auto again = decodePeerMessage(encodePeerMessage(*message));
        VERIFY(again.ok());
        VERIFY(*again == *message);
    }
    return 0;
}
