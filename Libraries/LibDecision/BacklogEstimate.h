#pragma once

#include <LibCore/Time.h>
#include <LibWire/ExpectedWait.h>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Bergamot {

/// Estimates how long the tasks of a new job will wait, for each class of best-effort tasks: the tasks of one image in
/// one service. What such tasks may use beside serving tasks is not known in advance, so the estimate rests on the rate
/// at which waiting work of the class has been started lately.
///
/// - A class is backlogged while one of its tasks has waited for `minBackloggedWait`. Only such a class has an expected
/// wait.
/// - The rate counts only the time in which the class was backlogged without a break: at other times the demand limits
///   it. It is an average with exponential forgetting, and valid after `minObservedMs`.
/// - The expected wait is the waiting work divided by the rate, and at most twice the longest wait so far. Without a
/// valid rate there is none: a wait of seconds
///   may have ended before a new job's turn comes, as after the loss of workers, and a class of which nothing starts
///   waits for something else than capacity.
class BacklogEstimate {
public:
    /// Service and image.
    using Class = std::pair<std::string_view, std::string_view>;

    struct Demand {
        /// Processor time that the waiting tasks need by their estimates, with the later steps of their jobs, in
        /// milliseconds of a core.
        double workCoreMs { 0 };
        Milliseconds longestWait { 0 };
    };

    /// Work of the class was started since the last update.
    void addStartedWork(const Class&, double coreMs);

    /// `demands` contains all classes with waiting tasks.
    void update(Instant now, const std::map<Class, Demand>& demands);

    /// The longest waits first, up to maxExpectedWaits; without names that are too long for a record.
    std::vector<ExpectedWait> expectedWaits() const;

private:
    struct Backlog {
        Demand demand {};
        double startedCoreMs { 0 };
        double observedMs { 0 };

        /// Work that was started since the last update.
        double newCoreMs { 0 };
    };

    using Key = std::pair<std::string, std::string>;

    /// Compares keys of both forms.
    struct Order {
        using is_transparent = void;
        bool operator()(const Class& a, const Class& b) const { return a < b; }
    };

    static Milliseconds expectedWait(const Backlog&);

    /// The backlogged classes.
    std::map<Key, Backlog, Order> m_backlogs;
    Instant m_updatedAt { neverInstant };
};

}
