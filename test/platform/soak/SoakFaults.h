/** \file
 * The faults of a soak: which may come, when each begins and how it is lifted. A seed allows a few
 * kinds, so that some soaks have only planned work and others pile everything up.
 */
#pragma once

#include "platform/soak/SoakWorld.h"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limereel::soak {

/** The schedule. */
class SoakFaults
{
public:
    SoakFaults(SoakFleet &fleet, SoakWorld &world, SoakJudge &judge, const SoakPlan &plan);

    /** Begins and lifts what is due; starts processes that have ended. */
    void tick(kernel::Instant now);

    /** Lifts everything and starts all that is down. */
    void liftAll(kernel::Instant now);

    /** Starts the boxes whose processes have ended, once it is time. */
    void startEnded(kernel::Instant now);

    const std::vector<std::string> &history() const { return history_; }

private:
    struct Active
    {
        kernel::Instant until;
        std::function<void()> lift;
    };

    /** One kind: begins it and returns its text for the history; empty if it can't come now. */
    struct Kind
    {
        std::string name;
        bool planned; ///< Planned work disturbs nothing.
        std::function<std::string()> begin;
    };

    std::vector<Kind> allKinds();
    std::vector<Kind> plannedKinds();
    void addKindsOf(const SoakPlan &plan);
    std::string pauseBox();
    std::string killBox();
    std::string stopBox();
    std::string reloadBox();
    std::string reloadListeningBox();
    std::string reload(SoakBox &box);
    std::string killAll();
    std::string harmStoreLink();
    std::string harmStore();
    std::string harmServerLink();
    std::string spoilAnswers();
    std::string changeConfiguration();
    std::string replaceServer();
    std::string drainHall();
    std::string rush();
    std::string slowServer();
    std::string crashServer();
    void noteCold(const SoakServer &server);
    void lookAtStore();
    void noteOutOfTouch();
    void note(const std::string &what);

    std::size_t pick(std::size_t count) { return random_() % count; }
    kernel::Duration span();
    Harm anyHarm();
    void until(kernel::Duration after, std::function<void()> lift);

    SoakFleet &fleet_;
    SoakWorld &world_;
    SoakJudge &judge_;
    std::mt19937_64 random_;
    std::vector<Kind> kinds_;
    std::vector<Active> active_;
    std::vector<std::string> history_;
    kernel::Instant began_;
    kernel::Instant now_;
    std::set<std::string> drained_; ///< Halls.
    kernel::Instant storeTroubled_; ///< When some box last couldn't read the store.
    int shortages_ = 0;             ///< Rushes and slow servers that are on now.
    int unplanned_ = 0;             ///< Faults that are on now, planned work aside.
};

} // namespace limereel::soak
