#pragma once

#include <LibWire/PeerMessage.h>
#include <LibWire/RecordBatch.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace Bergamot {

/// Maximum size of an encoded record batch, peer message or value. Decoders return InvalidArgument for larger input.
inline constexpr size_t maxEncodedBytes = size_t { 4 } << 20;

/// The first field of each encoded record batch and peer message; decoders reject other versions. Additional trailing
/// fields of a record or message are ignored, so that one older and one newer release can run together.
inline constexpr uint8_t wireVersion = 1;

std::string encodeBatch(const RecordBatch&);

/// Returns InvalidArgument for malformed or oversize input and for unknown record or message types; never throws.
absl::StatusOr<RecordBatch> decodeBatch(std::string_view);

std::string encodePeerMessage(const PeerMessage&);

/// Returns InvalidArgument for malformed or oversize input and for unknown record or message types; never throws.
absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view);

/// Encodes a single record without a wire version, as snapshots store it.
std::string encodeRecord(const Record&);

}
