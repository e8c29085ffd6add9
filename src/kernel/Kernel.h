/** \file
 * The micro-kernel: holds the services of a process, starts them in the order in which they were
 * added, stops them in the opposite order, and lets them find each other by name.
 */
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::kernel {

/** A part of a process that owns sockets or timers. */
class Service
{
public:
    Service() = default;
    virtual ~Service() = default;
    Service(const Service &) = delete;
    Service &operator=(const Service &) = delete;

    /** The name under which others find it. */
    virtual std::string_view name() const = 0;

    /** Begins; may look up services that were added before or after it, but must not use later ones
     * yet. */
    virtual void start() = 0;

    /** Ends at once; what runs is dropped. A planned stop drains first, see services/StopService.h.
     */
    virtual void stop() = 0;
};

/** The registry of services. */
class Kernel
{
public:
    /** Adds a service; names are unique. */
    template <typename Type>
    Type &add(std::unique_ptr<Type> service)
    {
        Type &reference = *service;
        insert(std::move(service));
        return reference;
    }

    /** The service named \a name. An unknown name or another type is an internal error. */
    template <typename Type>
    Type &find(std::string_view name) const
    {
        auto *const typed = dynamic_cast<Type *>(&lookUp(name));
        if (typed == nullptr) {
            throw std::logic_error("internal error: service '" + std::string(name)
                                   + "' is of another type");
        }
        return *typed;
    }

    void start();
    void stop();

private:
    void insert(std::unique_ptr<Service> service);
    Service &lookUp(std::string_view name) const;

    std::vector<std::unique_ptr<Service>> services_;
    std::size_t started_ = 0;
};

} // namespace limereel::kernel
