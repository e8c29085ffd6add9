/** \file
 * HTTP requests and answers as plain values, so that Beast stays behind Server.cpp and Client.cpp.
 */
#pragma once

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limereel::http {

/**
 * Head fields in the order they came.
 *
 * Built with with() and not from a braced list: g++ 12 destroys the list's array twice when the
 * expression stands in a coroutine.
 */
class Fields
{
public:
    void add(std::string name, std::string value)
    {
        fields_.emplace_back(std::move(name), std::move(value));
    }

    /** These fields and one more. */
    Fields with(std::string name, std::string value) &&
    {
        add(std::move(name), std::move(value));
        return std::move(*this);
    }

    /** These fields but those named \a name, letter case aside. */
    Fields without(std::string_view name) const
    {
        Fields others;
        std::ranges::copy_if(fields_, std::back_inserter(others.fields_),
                             [name](const auto &field) { return !sameName(field.first, name); });
        return others;
    }

    /** The value of the first field named \a name, letter case aside; empty if there is none. */
    std::string_view get(std::string_view name) const
    {
        const auto place = std::ranges::find_if(
                fields_, [name](const auto &field) { return sameName(field.first, name); });
        return place == fields_.end() ? std::string_view() : std::string_view(place->second);
    }

    /** The values of all fields named \a name, letter case aside. They live as long as these
     * fields. */
    std::vector<std::string_view> all(std::string_view name) const
    {
        std::vector<std::string_view> values;
        for (const auto &[other, value] : fields_) {
            if (sameName(other, name)) {
                values.emplace_back(value);
            }
        }
        return values;
    }

    auto begin() const { return fields_.begin(); }
    auto end() const { return fields_.end(); }

private:
    static bool sameName(std::string_view left, std::string_view right)
    {
        return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
            return std::tolower(a) == std::tolower(b);
        });
    }

    std::vector<std::pair<std::string, std::string>> fields_;
};

/**
 * A whole request.
 *
 * It and Answer have constructors rather than being aggregates: g++ 12 copies an aggregate
 * temporary byte by byte when it stands in a co_await expression.
 */
struct Request
{
    Request() = default;
    Request(std::string requestMethod, std::string requestTarget, Fields requestFields = {},
            std::string requestBody = {})
        : method(std::move(requestMethod))
        , target(std::move(requestTarget))
        , fields(std::move(requestFields))
        , body(std::move(requestBody))
    {
    }

    std::string method;
    std::string target; ///< Path and query.
    Fields fields;
    std::string body;

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }

    /** The value of \a name in the query; empty if there is none. */
    std::string query(std::string_view name) const;
};

/** A whole answer. */
struct Answer
{
    Answer() = default;
    explicit Answer(int answerStatus, Fields answerFields = {}, std::string answerBody = {})
        : status(answerStatus)
        , fields(std::move(answerFields))
        , body(std::move(answerBody))
    {
    }

    int status = 200;
    Fields fields;
    std::string body;
    /** Whether the body is known to be complete. If not, it is sent without a length and its end is
     * that of the connection, as it was when it was received. */
    bool endMarked = true;
};

} // namespace limereel::http
