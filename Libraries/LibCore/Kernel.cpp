#include <LibCore/Kernel.h>
#include <utility>

namespace Bergamot {

absl::Status Kernel::add(std::string name, std::shared_ptr<Service> service)
{
    std::lock_guard lock(m_mutex);
    auto [it, inserted] = m_services.try_emplace(std::move(name), std::move(service));
    if (!inserted)
        return absl::AlreadyExistsError(fmt::format("a service named {} exists", it->first));
    return absl::OkStatus();
}

std::shared_ptr<Service> Kernel::lookUp(std::string_view name) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

}
