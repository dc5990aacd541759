#pragma once

#include <LibCore/Ids.h>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Sorts members by their rendezvous hash for `key`. Removing a member changes the first member only of the keys for
/// which the removed member was first.
std::vector<MemberId> rendezvousOrder(std::string_view key, std::vector<MemberId> members);

}
