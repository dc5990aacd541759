#include <LibConfig/IpAddress.h>
#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <string>

namespace Bergamot {

namespace {

    bool isPort(std::string_view text)
    {
        uint32_t port = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
        return ec == std::errc {} && end == text.data() + text.size() && port >= 1 && port <= 65535;
    }

    bool isReachableIp(const std::string& text, int family)
    {
        unsigned char bytes[16] = {};
        if (text.find('\0') != std::string::npos || inet_pton(family, text.c_str(), bytes) != 1)
            return false;
        for (auto byte : bytes) {
            if (byte != 0)
                return true;
        }
        return false;
    }

}

bool isIpEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
        return false;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return isReachableIp(std::string(host.substr(1, host.size() - 2)), AF_INET6);
    return isReachableIp(std::string(host), AF_INET);
}

bool isIpUrl(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    if (!text.starts_with(scheme))
        return false;
    text.remove_prefix(scheme.size());
    if (text.ends_with('/'))
        text.remove_suffix(1);
    return isIpEndpoint(text);
}

}
