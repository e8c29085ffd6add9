/** \file
 * A small stand-in for the platform's store, as far as docs/interfaces/users-platform.md relies on
 * it: objects by kind and name, lists in pages, waiting watches, lost history; faults on demand. It
 * decodes targets strictly, and answers 400 to what is none.
 */
#pragma once

#include "http/Server.h"
#include "support/DecodedTarget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limereel::standin {

/** The store. */
class StoreStandin
{
public:
    /** What goes wrong until it is set back. */
    struct Faults
    {
        int status = 0;      ///< Answer everything with it; 0: as usual.
        bool silent = false; ///< Answer nothing.
        bool lost = false;   ///< Close the connection in place of an answer.
        int refuseEach = 0;  ///< Answer 429 to each call with this number; 0: to none.

        bool operator==(const Faults &) const = default;
    };

    /** What a question for one page of a list gets in place of the page. */
    enum class PageFault : std::uint8_t {
        Refusal,     ///< 400.
        NotFound,    ///< 404.
        TooMany,     ///< 429.
        Failure,     ///< 500.
        Unavailable, ///< 503.
        Reset,       ///< The connection ends without an answer.
        CutAnswer,   ///< The connection ends within the answer.
        Silence,     ///< Nothing.
        NoPage,      ///< A good status with a body that is no page.
        FirstPage    ///< The list from its beginning, as though another name had been asked for.
    };

    StoreStandin(boost::asio::io_context &io, const kernel::Endpoint &where);

    /** Creates or replaces an object. */
    void put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void remove(const std::string &kind, const std::string &name);

    /** Creates or replaces an object as another writer may have spoilt it: of the store's own
     * fields it has only what \a object has. */
    void putSpoilt(const std::string &kind, const std::string &name, nlohmann::json object);

    /** Watches from before now are told that their history is gone. */
    void forgetHistory() { forgotten_ = revision_; }

    int calls() const { return calls_; }

    /** The objects of \a kind by name. */
    const std::map<std::string, nlohmann::json> &objects(const std::string &kind)
    {
        return objects_[kind];
    }

    /** Watches that wait for a change. */
    std::size_t watching() const { return waiting_.size(); }

    /** Bytes of all lists and changes that were sent. */
    std::uint64_t bytesSent() const { return bytesSent_; }

    Faults faults;
    std::size_t pageSize = 500;

    /** Names behind which the store can't list, and what happens then. */
    std::map<std::string, PageFault> faultsBehind;

    /** Whether names in queries are taken as they stand in the target, with their escapes. */
    bool decodesNothing = false;

    /** Texts that stand in answers in place of these strings, as other writers may have written
     * them. */
    std::map<std::string, std::string> rawTexts;

private:
    struct Change
    {
        std::uint64_t revision;
        std::string kind;
        nlohmann::json event;
    };

    /** What a call is about. */
    struct Subject
    {
        std::string kind;
        std::optional<std::string> name;
        std::map<std::string, std::string> query;
    };

    std::optional<Subject> subjectOf(const http::Request &request) const;
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply);
    boost::asio::awaitable<void> list(const Subject &subject, http::Reply &reply);
    boost::asio::awaitable<void> failPage(PageFault fault, const Subject &subject,
                                          http::Reply &reply);
    boost::asio::awaitable<void> stayAway();
    http::Answer page(const std::string &kind, const std::string &after);
    boost::asio::awaitable<void> watch(const Subject &subject, http::Reply &reply);
    boost::asio::awaitable<void> one(const Subject &subject, http::Reply &reply);
    boost::asio::awaitable<void> create(const http::Request &request, const Subject &subject,
                                        http::Reply &reply);
    boost::asio::awaitable<void> change(const http::Request &request, const Subject &subject,
                                        http::Reply &reply);
    http::Answer answerOf(const nlohmann::json &body) const;
    void record(const std::string &kind, nlohmann::json object, bool gone);

    boost::asio::io_context &io_;
    http::Server server_;
    std::set<boost::asio::steady_timer *> waiting_; ///< Of watches; cancelled by each change.
    std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
    std::vector<Change> changes_;
    std::uint64_t revision_ = 1;
    std::uint64_t forgotten_ = 0;
    int calls_ = 0;
    std::uint64_t bytesSent_ = 0;
};

} // namespace limereel::standin
