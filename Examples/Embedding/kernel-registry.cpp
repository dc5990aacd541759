// Registers a service under a name and looks it up by name and type.
#include <LibCore/Kernel.h>
#include <LibCore/StatusText.h>
#include <fmt/format.h>

using namespace Bergamot;

namespace {

class Greeter final : public Service {
public:
    std::string greet(std::string_view name) const { return fmt::format("hello {}", name); }
};

}

int main()
{
    Kernel kernel;
    if (auto status = kernel.add("greeter", std::make_shared<Greeter>()); !status.ok()) {
        fmt::print(stderr, "{}\n", statusText(status));
        return 1;
    }
    const auto greeter = kernel.find<Greeter>("greeter");
    if (!greeter.ok()) {
        fmt::print(stderr, "{}\n", statusText(greeter.status()));
        return 1;
    }
    fmt::print("{}\n", (*greeter)->greet("operator"));
    const auto unknown = kernel.find<Greeter>("printer");
    fmt::print("{}\n", statusText(unknown.status()));
    return unknown.ok() ? 1 : 0;
}
