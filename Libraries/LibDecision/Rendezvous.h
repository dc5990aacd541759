#pragma once

#include <LibCore/Ids.h>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Orders members by rendezvous hash for a key. Removing a member moves only the keys that it was first for.
std::vector<MemberId> rendezvousOrder(std::string_view key, std::vector<MemberId> members);

}
