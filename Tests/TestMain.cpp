#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char** argv)
{
    // The leak detector of CppUTest reports the lazily allocated statics of absl and fmt as leaks; sanitizer builds
    // detect leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
