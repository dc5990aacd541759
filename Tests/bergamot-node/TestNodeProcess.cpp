#include <CppUTest/TestHarness.h>
#include <LibCore/SteadyClock.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpCall.h>
#include <LibHttp/HttpClient.h>
#include <PlatformStandIn/PlatformMessages.h>
#include <PlatformStandIn/StoreStandIn.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <memory>
#include <spawn.h>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace Bergamot;

static constexpr std::chrono::milliseconds pollInterval { 5 };
static constexpr std::chrono::seconds maxWait { 20 };
static constexpr uint16_t readyPort = 8167;
static constexpr uint16_t storePort = 7719;

/// A store that runs on a thread of its own.
class StoreThread {
public:
    explicit StoreThread(const std::string& ip)
    {
        auto created = StoreStandIn::create(*m_loop, { .address = ip, .port = storePort });
        CHECK(created.ok());
        m_store = std::move(*created);
        m_store->putOperatorRecord(configurationKey, configurationText(1, { { .name = "q", .pathPrefix = "/q/" } }));
        m_thread = std::thread([this] { m_loop->run(); });
    }
    StoreThread(const StoreThread&) = delete;
    StoreThread& operator=(const StoreThread&) = delete;
    ~StoreThread()
    {
        m_loop->stop();
        m_thread.join();
    }

    void apply(const StoreFault& fault)
    {
        m_loop->post([this, fault] { m_store->apply(fault); });
    }

private:
    SteadyClock m_clock;
    std::unique_ptr<EventLoop> m_loop { EventLoop::create(m_clock) };
    std::unique_ptr<StoreStandIn> m_store;
    std::thread m_thread;
};

/// Starts one process, and ends it after the test.
class NodeProcessFixture : public Utest {
public:
    std::string folder;
    std::string settingsPath;
    pid_t pid { 0 };

    void setup() override
    {
        char name[] = "/tmp/bergamot-node-test-XXXXXX";
        CHECK(mkdtemp(name) != nullptr);
        folder = name;
        settingsPath = folder + "/settings";
        CHECK_EQUAL(0, mkfifo(settingsPath.c_str(), 0600));
    }

    void teardown() override
    {
        if (pid != 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        unlink(settingsPath.c_str());
        rmdir(folder.c_str());
    }

    /// Starts the program, which stops in main() until writeSettings() is called.
    void startNode()
    {
        std::string program = BERGAMOT_NODE_PATH;
        auto settings = "BERGAMOTBAY_NODE_FILE=" + settingsPath;
        char* arguments[] = { program.data(), nullptr };
        char* environment[] = { settings.data(), nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
        CHECK_EQUAL(0, posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments, environment));
        posix_spawn_file_actions_destroy(&actions);
    }

    /// Waits until the process reads its settings. Returns the descriptor that writes them, or -1.
    int waitForReader()
    {
        auto deadline = std::chrono::steady_clock::now() + maxWait;
        while (std::chrono::steady_clock::now() < deadline) {
            int fd = open(settingsPath.c_str(), O_WRONLY | O_NONBLOCK);
            if (fd >= 0)
                return fd;
            std::this_thread::sleep_for(pollInterval);
        }
        return -1;
    }

    /// Waits for the end of the process. Returns its wait status, or -1.
    int waitForEnd()
    {
        auto deadline = std::chrono::steady_clock::now() + maxWait;
        while (std::chrono::steady_clock::now() < deadline) {
            int status = 0;
            if (waitpid(pid, &status, WNOHANG) == pid) {
                pid = 0;
                return status;
            }
            std::this_thread::sleep_for(pollInterval);
        }
        return -1;
    }
};

TEST_GROUP_BASE(NodeProcess, NodeProcessFixture) {};

// Guards against a process that a stop signal ends by its default action, because the signal arrives before the event
// loop runs (seed 31004 of the soak).
TEST(NodeProcess, StopSignalBeforeTheEventLoopRunsEndsInAnOrderlyStop)
{
    for (int signal : { SIGTERM, SIGINT }) {
        startNode();
        int fd = waitForReader();
        CHECK(fd >= 0);
        kill(pid, signal);
        auto text
            = settingsText({ .name = "n1", .zone = "z", .ip = "127.8.44.1", .storeAddress = "127.8.44.1:9" }, { "z" });
        [[maybe_unused]] auto written = write(fd, text.data(), text.size());
        close(fd);
        auto status = waitForEnd();
        CHECK(status >= 0);
        CHECK(WIFEXITED(status));
        CHECK_EQUAL(0, WEXITSTATUS(status));
    }
}

/// Of the process's 6 s between SIGTERM and SIGKILL.
static constexpr std::chrono::milliseconds maxDrainTime { 5600 };

TEST_GROUP_BASE(NodeProcessDrain, NodeProcessFixture)
{
    static constexpr const char* ip = "127.8.44.2";
    std::unique_ptr<StoreThread> store;
    std::chrono::steady_clock::time_point terminatedAt;

    void startReadyNode()
    {
        store = std::make_unique<StoreThread>(ip);
        startNode();
        int fd = waitForReader();
        CHECK(fd >= 0);
        auto text = settingsText(
            { .name = "n1", .zone = "z", .ip = ip, .storeAddress = fmt::format("{}:{}", ip, storePort) }, { "z" });
        [[maybe_unused]] auto written = write(fd, text.data(), text.size());
        close(fd);
        auto deadline = std::chrono::steady_clock::now() + maxWait;
        while (std::chrono::steady_clock::now() < deadline) {
            auto reply = HttpClient().call(HttpCall {
                .url = fmt::format("http://{}:{}/ready", ip, readyPort), .sendLimit = SendLimit::unlimited() });
            if (reply.ok() && reply->status == 200)
                return;
            std::this_thread::sleep_for(pollInterval);
        }
        FAIL("the node does not become ready");
    }

    void terminate()
    {
        terminatedAt = std::chrono::steady_clock::now();
        kill(pid, SIGTERM);
    }

    /// Sends a request whose caller waits for a minute.
    absl::StatusOr<HttpReply> call(const std::string& method, const std::string& body = {})
    {
        return HttpClient().call(HttpCall { .method = method,
            .url = fmt::format("http://{}:{}/q/0123456789abcdef", ip, nodeIngressPort),
            .headers
            = { { "Host", queueHost }, { deadlineHeaderName, "60000" }, { "Content-Type", "application/json" } },
            .body = body,
            .timeout = std::chrono::duration_cast<Milliseconds>(maxWait),
            .sendLimit = SendLimit::once() });
    }

    void checkEndsInOrder()
    {
        auto status = waitForEnd();
        CHECK(std::chrono::steady_clock::now() - terminatedAt < maxDrainTime);
        CHECK(status >= 0);
        CHECK(WIFEXITED(status));
        CHECK_EQUAL(0, WEXITSTATUS(status));
    }
};

// Guards against a connection that closes without an answer to a request that waits for the leader (issue 61).
TEST(NodeProcessDrain, CancelWithoutTheStoreIsAnsweredBeforeTheProcessStops)
{
    startReadyNode();
    auto accepted = call("POST", jobText({ {} }));
    CHECK(accepted.ok());
    CHECK_EQUAL(200, accepted->status);
    auto state = call("GET");
    while (state.ok() && state->status == 410)
        state = call("GET");
    CHECK(state.ok());
    CHECK_EQUAL(200, state->status);
    store->apply({ .kind = StoreFault::Kind::Unresponsive, .duration = Milliseconds { 30000 } });
    terminate();
    auto reply = call("DELETE");
    CHECK(reply.ok());
    CHECK_EQUAL(503, reply->status);
    STRCMP_EQUAL("1", std::string(headerValue(reply->headers, "Retry-After")).c_str());
    checkEndsInOrder();
}

// Guards against a submission without an answer, and against one that is called refused although its append may still
// take effect (issue 61).
TEST(NodeProcessDrain, SubmissionWithoutTheStoreIsAnsweredBeforeTheProcessStops)
{
    startReadyNode();
    store->apply({ .kind = StoreFault::Kind::LostAppendReplies, .duration = Milliseconds { 30000 } });
    terminate();
    auto reply = call("POST", jobText({ {} }));
    CHECK(reply.ok());
    CHECK_EQUAL(504, reply->status);
    checkEndsInOrder();
}
