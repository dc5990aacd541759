#pragma once

#include <string_view>

namespace Bergamot {

/// True for `IP:port` with an IPv4 address or a bracketed IPv6 address that other hosts can reach, and a port from 1 to
/// 65535. Host names and the unspecified address are rejected, because hosts connect by IP address without name
/// resolution and entry hosts announce these addresses to each other.
bool isIpEndpoint(std::string_view text);

/// True for `http://IP:port` with an optional trailing `/`, where `IP:port` satisfies isIpEndpoint().
bool isIpUrl(std::string_view text);

}
