/** \file
 * How long the answers of a service usually take, as one box has lately seen them. A request may
 * wait for a place only as long as its answer would still come in time after that.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <map>
#include <string>

namespace limereel::forward {

/** The usual answer time of each service. */
class AnswerTimes
{
public:
    /** Records an answer of \a service that took \a taken. */
    void note(const std::string &service, kernel::Duration taken);

    /** The smoothed time of an answer of \a service; zero: none came yet. */
    kernel::Duration usual(const std::string &service) const;

private:
    std::map<std::string, kernel::Duration> means_;
};

} // namespace limereel::forward
