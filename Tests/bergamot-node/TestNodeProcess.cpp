#include <CppUTest/TestHarness.h>
#include <PlatformStandIn/PlatformMessages.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace Bergamot;

static constexpr std::chrono::milliseconds pollInterval { 5 };
static constexpr std::chrono::seconds maxWait { 20 };

TEST_GROUP(NodeProcess)
{
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
