#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// The settings of one entry daemon. Addresses are `IP:port` with IP numbers; IPv6 numbers are in brackets.
struct NodeSettings {
    MemberId member {};
    ZoneId zone {};
    std::string region {};
    std::string callerListen {};
    std::string operatorListen {};
    std::string peerListen {};
    /// Peer addresses of the other entry hosts; the own address may be among them.
    std::vector<std::string> peers {};
    /// Base URLs, `http://IP:port`.
    std::string logUrl {};
    std::string hostListUrl {};
    /// File with the operators' bearer token.
    std::string adminTokenFile {};
    /// Configuration that applies until the first one is read from the log; both paths or none.
    std::optional<std::string> baseConfig {};
    std::optional<std::string> overlayConfig {};
    int64_t quickThreads { 2 };
    /// `debug`, `info`, `warning` or `error`.
    std::string logLevel { "info" };

    bool operator==(const NodeSettings&) const = default;
};

}
