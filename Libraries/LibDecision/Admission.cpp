#include <LibDecision/Admission.h>
#include <algorithm>

namespace Bergamot {

using std::chrono::microseconds;

namespace {
    /// Weight of a new sample in the exponentially weighted mean; about the last 50 requests contribute.
    constexpr double serviceTimeWeight = 0.02;
    constexpr microseconds maxServiceTime = std::chrono::hours(1);
    constexpr int64_t maxSlots = int64_t { 1 } << 20;

    size_t indexOf(Priority priority) { return static_cast<size_t>(priority); }
    bool isValidPriority(Priority priority) { return indexOf(priority) < static_cast<size_t>(priorityCount); }
}

absl::StatusOr<Admission> Admission::create(Options options)
{
    if (options.maxQueued < 0 || options.maxQueued > maxSlots)
        return absl::InvalidArgumentError("admission: the maximum queue length is out of range");
    if (options.targetQueueDelay <= Milliseconds(0) || options.initialServiceTime <= Milliseconds(0)
        || options.targetQueueDelay > maxServiceTime || options.initialServiceTime > maxServiceTime)
        return absl::InvalidArgumentError("admission: a duration is out of range");
    for (auto share : options.delayShareMillis) {
        if (share < 0 || share > 1000)
            return absl::InvalidArgumentError("admission: a delay share is not between 0 and 1000 thousandths");
    }
    return Admission(options);
}

Admission::Admission(Options options)
    : m_options(options)
    , m_meanServiceMicros(static_cast<double>(microseconds(options.initialServiceTime).count()))
{
}

absl::Status Admission::advance(Instant now)
{
    if (now < m_now)
        return absl::InvalidArgumentError("admission: the time is earlier than that of a previous call");
    m_now = now;
    return absl::OkStatus();
}

absl::Status Admission::setSlots(int64_t slots)
{
    if (slots < 0 || slots > maxSlots)
        return absl::InvalidArgumentError("admission: the number of slots is out of range");
    m_slots = slots;
    return absl::OkStatus();
}

microseconds Admission::meanServiceTime() const { return microseconds(static_cast<int64_t>(m_meanServiceMicros)); }

int64_t Admission::countQueuedAhead(Priority priority) const
{
    int64_t ahead = 0;
    for (size_t n = 0; n <= indexOf(priority); ++n)
        ahead += static_cast<int64_t>(m_queues[n].size());
    return ahead;
}

microseconds Admission::estimatedWait(Priority priority) const
{
    const auto ahead = countQueuedAhead(priority);
    if (ahead == 0 && running() < m_slots)
        return microseconds(0);
    // While all slots are in use, one becomes free every (mean service time / slots) on average.
    const auto slots = static_cast<double>(std::max<int64_t>(1, m_slots));
    return microseconds(static_cast<int64_t>(static_cast<double>(ahead + 1) * m_meanServiceMicros / slots));
}

bool Admission::canMeetDeadline(Instant deadline, microseconds wait, Instant now) const
{
    return wait + meanServiceTime() <= deadline - now;
}

Admission::Decision Admission::reject(Reason reason, Priority priority) const
{
    const auto wait = std::chrono::duration_cast<Milliseconds>(estimatedWait(priority));
    return { .outcome = Outcome::Reject, .reason = reason, .retryAfter = std::max(wait, Milliseconds(1)) };
}

std::optional<Admission::RejectedRequest> Admission::displaceLowerClass(Priority priority)
{
    for (auto n = m_queues.size() - 1; n > indexOf(priority); --n) {
        if (m_queues[n].empty())
            continue;
        const auto id = m_queues[n].back().id;
        m_queues[n].pop_back();
        m_queuedPriorities.erase(id);
        --m_queued;
        return RejectedRequest { .id = id, .reason = Reason::Displaced };
    }
    return {};
}

absl::StatusOr<Admission::Decision> Admission::offer(const Request& request, Instant now)
{
    if (!isValidPriority(request.priority))
        return absl::InvalidArgumentError("admission: unknown priority class");
    if (m_running.contains(request.id) || m_queuedPriorities.contains(request.id))
        return absl::AlreadyExistsError("admission: a request with this id is queued or running");
    if (auto status = advance(now); !status.ok())
        return status;
    const auto wait = estimatedWait(request.priority);
    if (!canMeetDeadline(request.deadline, wait, now))
        return reject(Reason::Deadline, request.priority);
    if (wait == microseconds(0)) {
        m_running[request.id] = request;
        return Decision { .outcome = Outcome::Start };
    }
    const auto share = m_options.delayShareMillis[indexOf(request.priority)];
    if (m_slots == 0 || wait > microseconds(m_options.targetQueueDelay) * share / 1000)
        return reject(Reason::Delay, request.priority);
    Decision decision { .outcome = Outcome::Queue };
    if (m_queued >= m_options.maxQueued) {
        decision.displaced = displaceLowerClass(request.priority);
        if (!decision.displaced)
            return reject(Reason::QueueFull, request.priority);
    }
    m_queues[indexOf(request.priority)].push_back(request);
    m_queuedPriorities[request.id] = request.priority;
    ++m_queued;
    return decision;
}

absl::StatusOr<Admission::QueueResult> Admission::startQueued(Instant now)
{
    if (auto status = advance(now); !status.ok())
        return status;
    QueueResult result;
    for (auto& queue : m_queues) {
        while (!queue.empty() && running() < m_slots) {
            const auto request = queue.front();
            queue.pop_front();
            m_queuedPriorities.erase(request.id);
            --m_queued;
            if (!canMeetDeadline(request.deadline, microseconds(0), now)) {
                result.rejected.push_back({ .id = request.id, .reason = Reason::Deadline });
                continue;
            }
            m_running[request.id] = request;
            result.started.push_back(request.id);
        }
    }
    return result;
}

absl::Status Admission::finish(uint64_t id, microseconds serviceTime, Instant now)
{
    if (serviceTime < microseconds(0) || serviceTime > maxServiceTime)
        return absl::InvalidArgumentError("admission: the service time is out of range");
    if (!m_running.contains(id))
        return absl::NotFoundError("admission: the request is not running");
    if (auto status = advance(now); !status.ok())
        return status;
    m_running.erase(id);
    m_meanServiceMicros += serviceTimeWeight * (static_cast<double>(serviceTime.count()) - m_meanServiceMicros);
    return absl::OkStatus();
}

absl::Status Admission::requeue(uint64_t id, Instant now)
{
    auto it = m_running.find(id);
    if (it == m_running.end())
        return absl::NotFoundError("admission: the request is not running");
    if (auto status = advance(now); !status.ok())
        return status;
    const auto request = it->second;
    m_running.erase(it);
    m_queues[indexOf(request.priority)].push_front(request);
    m_queuedPriorities[id] = request.priority;
    ++m_queued;
    return absl::OkStatus();
}

absl::Status Admission::cancel(uint64_t id)
{
    auto it = m_queuedPriorities.find(id);
    if (it == m_queuedPriorities.end())
        return absl::NotFoundError("admission: the request is not queued");
    std::erase_if(m_queues[indexOf(it->second)], [&](const auto& request) { return request.id == id; });
    m_queuedPriorities.erase(it);
    --m_queued;
    return absl::OkStatus();
}

}
