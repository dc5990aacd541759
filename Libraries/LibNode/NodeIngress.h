#pragma once

#include <LibDecision/JobAdmission.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <LibNode/JobAcceptor.h>
#include <LibNode/QueryRouter.h>
#include <LibPlatform/PlatformFormats.h>
#include <LibPlatform/RoutingTable.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

class EventLoop;
class NodeMetrics;

/// HTTP handler for callers' requests: job submission, job state, job cancellation and queue length. Runs on the event
/// loop.
class NodeIngress {
public:
    struct Options {
        /// Returns the current configuration, or null if none has been loaded.
        std::function<std::shared_ptr<const RoutingTable>()> routing {};

        /// Whether the configuration comes from a recent read of the operators' records.
        std::function<bool()> isConfigurationCurrent {};

        /// Returns the expected waits that the leader has published lately. An empty function means none.
        std::function<std::vector<ExpectedWait>()> expectedWaits {};
    };

    /// All references must outlive the ingress.
    NodeIngress(EventLoop&, JobAcceptor&, QueryRouter&, const PlatformFormats&, NodeMetrics&, Options);

    void handle(const HttpRequest&, HttpResponder);

    /// No request waits for its result beyond this time; requests that arrive later are refused.
    void setAnswerBy(Instant answerBy) { m_answerBy = answerBy; }

private:
    using SharedResponder = std::shared_ptr<HttpResponder>;

    void route(const HttpRequest&, HttpResponder);
    void submit(const HttpRequest&, const QueueRoute&, uint64_t configVersion, const JobId&, SharedResponder);
    void accept(const JobSpec&, Instant deadline, const SharedResponder&);
    std::optional<ServiceOverload> overloadFor(const JobSpec&) const;
    void refuseUnlessKnown(const JobSpec&, const ServiceOverload&, Instant deadline, const SharedResponder&);
    void refuse(const JobSpec&, const ServiceOverload&, const SharedResponder&);
    void forwardQuery(JobQueryKind, const std::string& subject, Instant deadline, SharedResponder);
    Instant deadlineOf(const HttpRequest&) const;

    EventLoop& m_loop;
    JobAcceptor& m_acceptor;
    QueryRouter& m_queries;
    const PlatformFormats& m_formats;
    NodeMetrics& m_metrics;
    Options m_options;
    Instant m_answerBy { Instant::max() };
};

}
