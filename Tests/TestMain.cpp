#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int argc, char** argv)
{
    // The leak detector reports the lazily allocated statics of absl and fmt as leaks; sanitizer builds look for leaks
    // instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
