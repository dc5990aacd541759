#pragma once

#include <LibWire/PeerMessage.h>
#include <LibWire/RecordBatch.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace Bergamot {

/// Bytes of one record batch or peer message that a decoder accepts; larger input is InvalidArgument.
inline constexpr size_t maxEncodedBytes = size_t { 4 } << 20;

/// Every encoding starts with this version. A decoder ignores trailing fields that it does not know, so that one
/// older and one newer version can run together; a different major version is refused.
inline constexpr uint8_t wireVersion = 1;

std::string encodeBatch(const RecordBatch&);

/// Returns InvalidArgument for malformed, oversize or unknown input; never throws.
absl::StatusOr<RecordBatch> decodeBatch(std::string_view);

std::string encodePeerMessage(const PeerMessage&);

/// Returns InvalidArgument for malformed, oversize or unknown input; never throws.
absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view);

/// Encodes one record alone, as snapshots store it.
std::string encodeRecord(const Record&);

}
