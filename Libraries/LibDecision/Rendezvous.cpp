#include <LibCore/Digest.h>
#include <LibDecision/Rendezvous.h>
#include <algorithm>
#include <tuple>

namespace Bergamot {

std::vector<MemberId> rendezvousOrder(std::string_view key, std::vector<MemberId> members)
{
    auto keyDigest = digestOf(key);
    std::ranges::sort(members, [&](const auto& a, const auto& b) {
        auto rankA = mixDigest(keyDigest, digestOf(a));
        auto rankB = mixDigest(keyDigest, digestOf(b));
        return std::tie(rankA, a) < std::tie(rankB, b);
    });
    return members;
}

}
