#include <LibCore/Verify.h>
#include <LibWire/Codec.h>

using namespace Bergamot;

// Guards against input that crashes a decoder, or decodes to a value that does not survive encoding. libFuzzer calls
// this with each input that it derives.
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
