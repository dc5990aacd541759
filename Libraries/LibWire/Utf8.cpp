#include <LibWire/Utf8.h>
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace Bergamot {

namespace {

    /// The sequences that begin with a byte from `firstByte` to `lastByte`. The bytes after the second one are from
    /// 0x80 to 0xbf.
    struct SequenceRange {
        uint8_t firstByte;
        uint8_t lastByte;
        size_t length;
        uint8_t minSecondByte;
        uint8_t maxSecondByte;
    };

}

static constexpr uint8_t minContinuation = 0x80;
static constexpr uint8_t maxContinuation = 0xbf;

static constexpr std::array<SequenceRange, 9> ranges { { { 0x00, 0x7f, 1, 0, 0 }, { 0xc2, 0xdf, 2, 0x80, 0xbf },
    { 0xe0, 0xe0, 3, 0xa0, 0xbf }, { 0xe1, 0xec, 3, 0x80, 0xbf }, { 0xed, 0xed, 3, 0x80, 0x9f },
    { 0xee, 0xef, 3, 0x80, 0xbf }, { 0xf0, 0xf0, 4, 0x90, 0xbf }, { 0xf1, 0xf3, 4, 0x80, 0xbf },
    { 0xf4, 0xf4, 4, 0x80, 0x8f } } };

static uint8_t byteAt(std::string_view text, size_t position) { return static_cast<uint8_t>(text[position]); }

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        auto first = byteAt(text, 0);
        const auto* range = std::ranges::find_if(
            ranges, [&](const SequenceRange& it) { return first >= it.firstByte && first <= it.lastByte; });
        if (range == ranges.end() || text.size() < range->length)
            return false;
        for (size_t i = 1; i < range->length; ++i) {
            auto min = i == 1 ? range->minSecondByte : minContinuation;
            auto max = i == 1 ? range->maxSecondByte : maxContinuation;
            if (byteAt(text, i) < min || byteAt(text, i) > max)
                return false;
        }
        text.remove_prefix(range->length);
    }
    return true;
}

}
