// Counts requests on one host and prints the burn report of that host. An entry host reports the merged slices of all
// entry hosts instead.
#include <LibCore/StatusText.h>
#include <LibReport/BurnFormat.h>
#include <LibReport/BurnTracker.h>
#include <fmt/format.h>

using namespace Bergamot;
using namespace std::chrono_literals;

int main()
{
    const BurnObjective objective { .service = "tokens", .latencyTarget = 50ms, .objectivePercent = 99.5 };
    auto tracker = BurnTracker::create({ .member = "e1" }, { objective }, 1, epochInstant);
    if (!tracker.ok()) {
        fmt::print(stderr, "{}\n", statusText(tracker.status()));
        return 1;
    }
    for (int second = 0; second < 3600; ++second) {
        const auto latency = second % 100 == 0 ? 80ms : 5ms;
        const auto status
            = (*tracker)->record("tokens", "shop-12", "riga-a", true, latency, epochInstant + second * 1000ms);
        if (!status.ok()) {
            fmt::print(stderr, "{}\n", statusText(status));
            return 1;
        }
    }
    const std::vector<BurnSlice> slices { (*tracker)->slice(epochInstant + 1h) };
    const std::vector<MemberId> missing { "e2" };
    fmt::print("{}", formatBurnText(mergeBurn(slices, missing)));
}
