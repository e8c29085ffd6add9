#include "kernel/Kernel.h"

#include <algorithm>

namespace limereel::kernel {

void Kernel::start()
{
    while (started_ < services_.size()) {
        services_[started_]->start();
        ++started_;
    }
}

void Kernel::stop()
{
    while (started_ > 0) {
        --started_;
        services_[started_]->stop();
    }
}

void Kernel::insert(std::unique_ptr<Service> service)
{
    const bool taken = std::ranges::any_of(
            services_, [&](const auto &other) { return other->name() == service->name(); });
    if (taken) {
        throw std::logic_error("internal error: two services are named '"
                               + std::string(service->name()) + "'");
    }
    services_.push_back(std::move(service));
}

Service &Kernel::lookUp(std::string_view name) const
{
    const auto place = std::ranges::find_if(
            services_, [&](const auto &service) { return service->name() == name; });
    if (place == services_.end()) {
        throw std::logic_error("internal error: there is no service '" + std::string(name) + "'");
    }
    return **place;
}

} // namespace limereel::kernel
