#pragma once

#include <string_view>

namespace Bergamot {

/// True for `IP:port` with an IPv4 number or a bracketed IPv6 number that other hosts can reach, and a port from 1 to
/// 65535. Host names and the unspecified address are refused: the system communicates by IP numbers, and entry hosts
/// announce these addresses to each other.
bool isIpEndpoint(std::string_view text);

/// True for `http://IP:port`, with an optional `/` at the end.
bool isIpUrl(std::string_view text);

}
