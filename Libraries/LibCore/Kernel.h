#pragma once

#include <LibCore/Service.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace Bergamot {

/// Registry in which the services of one process look each other up by name.
class Kernel {
public:
    /// Registers a service. Returns AlreadyExists when the name is registered already.
    absl::Status add(std::string name, std::shared_ptr<Service>);

    /// Returns NotFound for an unknown name and FailedPrecondition when the service has another type.
    template <typename T> absl::StatusOr<std::shared_ptr<T>> find(std::string_view name) const
    {
        auto service = lookUp(name);
        if (!service)
            return absl::NotFoundError(fmt::format("no service named {}", name));
        auto typed = std::dynamic_pointer_cast<T>(service);
        if (!typed)
            return absl::FailedPreconditionError(fmt::format("service {} has another type", name));
        return typed;
    }

private:
    std::shared_ptr<Service> lookUp(std::string_view name) const;

    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Service>, std::less<>> m_services;
};

}
