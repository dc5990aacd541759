#include <LibDecision/CriticalPath.h>
#include <algorithm>
#include <vector>

namespace Bergamot {

int64_t criticalPathMs(const JobSpec& spec)
{
    std::vector<int64_t> ends(spec.steps.size(), 0);
    int64_t longest = 0;
    for (size_t i = 0; i < spec.steps.size(); ++i) {
        int64_t begin = 0;
        for (auto earlier : spec.steps[i].dependsOn)
            begin = std::max(begin, earlier < i ? ends[earlier] : 0);
        ends[i] = begin + spec.steps[i].estimateMs;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

}
