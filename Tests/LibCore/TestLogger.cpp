#include <CppUTest/TestHarness.h>
#include <LibCore/Logger.h>

using namespace Bergamot;

TEST_GROUP(Logger) {};

// Guards against values that break a line into several or into other key=value pairs.
TEST(Logger, QuotesValuesThatWouldBreakTheLine)
{
    STRCMP_EQUAL("plain", Logger::quoted("plain").c_str());
    STRCMP_EQUAL("\"\"", Logger::quoted("").c_str());
    STRCMP_EQUAL("\"a b\"", Logger::quoted("a b").c_str());
    STRCMP_EQUAL("\"k=v\"", Logger::quoted("k=v").c_str());
    STRCMP_EQUAL("\"say \\\"x\\\"\\n\"", Logger::quoted("say \"x\"\n").c_str());
}
