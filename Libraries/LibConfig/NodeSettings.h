#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// The settings of one entry daemon. Addresses are `IP:port`; IPv6 addresses are in brackets.
struct NodeSettings {
    MemberId member {};
    ZoneId zone {};
    std::string region {};
    std::string callerListen {};
    std::string operatorListen {};
    std::string peerListen {};
    /// Peer addresses of the other entry hosts. The list may contain the address of this host.
    std::vector<std::string> peers {};
    /// Base URLs, `http://IP:port`.
    std::string logUrl {};
    std::string hostListUrl {};
    /// Path of the file with the operators' bearer token.
    std::string adminTokenFile {};
    /// Paths of the configuration in force until the first published configuration is read from the log. Either both
    /// are set or neither.
    std::optional<std::string> baseConfig {};
    std::optional<std::string> overlayConfig {};
    int64_t quickThreads { 2 };
    /// `debug`, `info`, `warning` or `error`.
    std::string logLevel { "info" };

    bool operator==(const NodeSettings&) const = default;
};

}
