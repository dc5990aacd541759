#include <LibNode/UnprovenStarts.h>

namespace Bergamot {

UnprovenStarts::Entry UnprovenStarts::entryOf(const StartTask& start, Instant now)
{
    return { .stop
        = { .worker = start.worker, .task = start.task, .run = start.run, .reason = StopReason::StartWithdrawn },
        .endedAt = now };
}

void UnprovenStarts::addAccepted(const StartTask& start, Instant now) { m_accepted.push_back(entryOf(start, now)); }

void UnprovenStarts::addUnanswered(const StartTask& start, Instant now)
{
    std::erase_if(m_unanswered, [&](const Entry& it) {
        bool isRepeat = it.stop.run == start.run && it.stop.task == start.task;
        return isRepeat || now - it.endedAt > maxCallDelay;
    });
    m_unanswered.push_back(entryOf(start, now));
}

void UnprovenStarts::incarnationProven(Instant requestSentAt)
{
    std::erase_if(m_accepted, [&](const Entry& it) { return it.endedAt < requestSentAt; });
}

std::vector<StopTask> UnprovenStarts::stops(Instant now) const
{
    std::vector<StopTask> stops;
    for (const auto& it : m_accepted)
        stops.push_back(it.stop);
    for (const auto& it : m_unanswered) {
        if (now - it.endedAt <= maxCallDelay)
            stops.push_back(it.stop);
    }
    return stops;
}

}
