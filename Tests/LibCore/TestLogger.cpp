#include <CppUTest/TestHarness.h>
#include <LibCore/Logger.h>
#include <array>
#include <cstdio>
#include <string>
#include <unistd.h>

using namespace Bergamot;

TEST_GROUP(Logger) {};

// Guards against unquoted values that split a log line or add key=value pairs to it.
TEST(Logger, QuotesValuesThatWouldBreakTheLine)
{
    STRCMP_EQUAL("plain", Logger::quoted("plain").c_str());
    STRCMP_EQUAL("\"\"", Logger::quoted("").c_str());
    STRCMP_EQUAL("\"a b\"", Logger::quoted("a b").c_str());
    STRCMP_EQUAL("\"k=v\"", Logger::quoted("k=v").c_str());
    STRCMP_EQUAL("\"say \\\"x\\\"\\n\"", Logger::quoted("say \"x\"\n").c_str());
}

// Guards against a process that blocks in a log call because nobody reads the pipe.
TEST(Logger, FullPipeDropsLinesAndCountsThem)
{
    std::array<int, 2> ends {};
    CHECK_EQUAL(0, pipe(ends.data()));
    auto* stream = fdopen(ends[1], "w");
    Logger logger;
    logger.setStream(stream);
    constexpr int events = 3000;
    for (int i = 0; i < events; ++i)
        logger.log(LogLevel::Info, "event_" + std::to_string(i), { { "text", std::string(100, 'x') } });
    std::array<char, 65536> buf {};
    CHECK(read(ends[0], buf.data(), buf.size()) > 0);
    logger.log(LogLevel::Info, "after", {});
    std::string text;
    for (ssize_t n = 0;
         text.find("event=after") == std::string::npos && (n = read(ends[0], buf.data(), buf.size())) > 0;)
        text.append(buf.data(), static_cast<size_t>(n));
    CHECK(text.find("event=after dropped=") != std::string::npos);
    std::fclose(stream);
    close(ends[0]);
}
