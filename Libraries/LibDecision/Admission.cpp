#include <LibDecision/Admission.h>
#include <algorithm>

namespace Bergamot {

using std::chrono::microseconds;

namespace {
    /// Weight of a new service time in the mean; about the last 50 requests count.
    constexpr double serviceWeight = 0.02;
    constexpr microseconds maxService = std::chrono::hours(1);
    constexpr int64_t maxSlots = int64_t { 1 } << 20;

    size_t indexOf(Priority priority) { return static_cast<size_t>(priority); }
    bool isPriority(Priority priority) { return indexOf(priority) < static_cast<size_t>(priorityCount); }
}

absl::StatusOr<Admission> Admission::create(Options options)
{
    if (options.maxQueued < 0 || options.maxQueued > maxSlots)
        return absl::InvalidArgumentError("admission: the queue length is out of range");
    if (options.targetDelay <= Milliseconds(0) || options.initialService <= Milliseconds(0)
        || options.targetDelay > maxService || options.initialService > maxService)
        return absl::InvalidArgumentError("admission: a time is out of range");
    for (auto share : options.delayShareMillis) {
        if (share < 0 || share > 1000)
            return absl::InvalidArgumentError("admission: a share is not between 0 and 1000 thousandths");
    }
    return Admission(options);
}

Admission::Admission(Options options)
    : m_options(options)
    , m_serviceMicros(static_cast<double>(microseconds(options.initialService).count()))
{
}

absl::Status Admission::advance(Instant now)
{
    if (now < m_now)
        return absl::InvalidArgumentError("admission: time went back");
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

microseconds Admission::meanService() const { return microseconds(static_cast<int64_t>(m_serviceMicros)); }

int64_t Admission::queuedAhead(Priority priority) const
{
    int64_t ahead = 0;
    for (size_t n = 0; n <= indexOf(priority); ++n)
        ahead += static_cast<int64_t>(m_queues[n].size());
    return ahead;
}

microseconds Admission::estimatedWait(Priority priority) const
{
    const auto ahead = queuedAhead(priority);
    if (ahead == 0 && running() < m_slots)
        return microseconds(0);
    // With all slots busy, one ends every (service time / slots).
    const auto slots = static_cast<double>(std::max<int64_t>(1, m_slots));
    return microseconds(static_cast<int64_t>(static_cast<double>(ahead + 1) * m_serviceMicros / slots));
}

bool Admission::canMeet(Instant deadline, microseconds wait, Instant now) const
{
    return wait + meanService() <= deadline - now;
}

Admission::Decision Admission::refuse(Reason reason, Priority priority) const
{
    const auto wait = std::chrono::duration_cast<Milliseconds>(estimatedWait(priority));
    return { .verdict = Verdict::Refuse, .reason = reason, .retryAfter = std::max(wait, Milliseconds(1)) };
}

std::optional<Admission::Refusal> Admission::displaceBelow(Priority priority)
{
    for (auto n = m_queues.size() - 1; n > indexOf(priority); --n) {
        if (m_queues[n].empty())
            continue;
        const auto id = m_queues[n].back().id;
        m_queues[n].pop_back();
        m_waiting.erase(id);
        --m_queued;
        return Refusal { .id = id, .reason = Reason::Displaced };
    }
    return {};
}

absl::StatusOr<Admission::Decision> Admission::offer(const Request& request, Instant now)
{
    if (!isPriority(request.priority))
        return absl::InvalidArgumentError("admission: unknown priority class");
    if (m_running.contains(request.id) || m_waiting.contains(request.id))
        return absl::AlreadyExistsError("admission: the request is queued or runs");
    if (auto status = advance(now); !status.ok())
        return status;
    const auto wait = estimatedWait(request.priority);
    if (!canMeet(request.deadline, wait, now))
        return refuse(Reason::Deadline, request.priority);
    if (wait == microseconds(0)) {
        m_running[request.id] = request;
        return Decision { .verdict = Verdict::Start };
    }
    const auto share = m_options.delayShareMillis[indexOf(request.priority)];
    if (m_slots == 0 || wait > microseconds(m_options.targetDelay) * share / 1000)
        return refuse(Reason::Delay, request.priority);
    Decision decision { .verdict = Verdict::Queue };
    if (m_queued >= m_options.maxQueued) {
        decision.displaced = displaceBelow(request.priority);
        if (!decision.displaced)
            return refuse(Reason::QueueFull, request.priority);
    }
    m_queues[indexOf(request.priority)].push_back(request);
    m_waiting[request.id] = request.priority;
    ++m_queued;
    return decision;
}

absl::StatusOr<Admission::Batch> Admission::take(Instant now)
{
    if (auto status = advance(now); !status.ok())
        return status;
    Batch batch;
    for (auto& queue : m_queues) {
        while (!queue.empty() && running() < m_slots) {
            const auto request = queue.front();
            queue.pop_front();
            m_waiting.erase(request.id);
            --m_queued;
            if (!canMeet(request.deadline, microseconds(0), now)) {
                batch.refused.push_back({ .id = request.id, .reason = Reason::Deadline });
                continue;
            }
            m_running[request.id] = request;
            batch.started.push_back(request.id);
        }
    }
    return batch;
}

absl::Status Admission::finish(uint64_t id, microseconds service, Instant now)
{
    if (service < microseconds(0) || service > maxService)
        return absl::InvalidArgumentError("admission: the service time is out of range");
    if (!m_running.contains(id))
        return absl::NotFoundError("admission: the request does not run");
    if (auto status = advance(now); !status.ok())
        return status;
    m_running.erase(id);
    m_serviceMicros += serviceWeight * (static_cast<double>(service.count()) - m_serviceMicros);
    return absl::OkStatus();
}

absl::Status Admission::putBack(uint64_t id, Instant now)
{
    auto it = m_running.find(id);
    if (it == m_running.end())
        return absl::NotFoundError("admission: the request does not run");
    if (auto status = advance(now); !status.ok())
        return status;
    const auto request = it->second;
    m_running.erase(it);
    m_queues[indexOf(request.priority)].push_front(request);
    m_waiting[id] = request.priority;
    ++m_queued;
    return absl::OkStatus();
}

absl::Status Admission::cancel(uint64_t id)
{
    auto it = m_waiting.find(id);
    if (it == m_waiting.end())
        return absl::NotFoundError("admission: the request is not queued");
    std::erase_if(m_queues[indexOf(it->second)], [&](const auto& request) { return request.id == id; });
    m_waiting.erase(it);
    --m_queued;
    return absl::OkStatus();
}

}
