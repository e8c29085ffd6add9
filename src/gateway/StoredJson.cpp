#include "gateway/StoredJson.h"

#include "http/JsonSlices.h"
#include "kernel/Log.h"

#include <boost/asio.hpp>
#include <utility>

namespace limereel::gateway {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

const kernel::Log &log()
{
    static const kernel::Log Log("feed");
    return Log;
}

} // namespace

asio::awaitable<void> yieldToLoop()
{
    co_await asio::post(asio::use_awaitable);
}

asio::awaitable<json> StoredJson::read(const std::string &text)
{
    json value = co_await readSlices(text);
    if (!value.is_discarded()) {
        co_return value;
    }
    const auto repaired = http::repairJson(text);
    if (!repaired) {
        co_return value;
    }
    noteRepaired(*repaired);
    co_return co_await readSlices(repaired->text);
}

asio::awaitable<std::vector<store::StoredObject>>
StoredJson::readKept(const std::vector<store::KeptObject> &kept)
{
    std::vector<store::StoredObject> objects;
    for (const store::KeptObject &one : kept) {
        store::StoredObject object;
        object.name = one.name;
        object.revision = one.revision;
        object.gone = one.gone;
        if (!one.gone) {
            object.content = co_await read(one.text);
        }
        objects.push_back(std::move(object));
        if (objects.size() % MaxObjectsPerTurn == 0) {
            co_await yieldToLoop();
        }
    }
    co_return objects;
}

asio::awaitable<json> StoredJson::readSlices(std::string_view text)
{
    http::JsonSlices slices(text);
    while (slices.readSlice()) {
        context_.counters.add("store_answer_slices", {{"kind", kind_}});
        co_await yieldToLoop();
    }
    co_return slices.take();
}

// The same object comes with each list, and is logged once.
void StoredJson::noteRepaired(const http::RepairedJson &repaired)
{
    context_.counters.add("answers_repaired", {{"kind", kind_}});
    if (std::exchange(replacedParts_, repaired.replaced()) == repaired.replaced()) {
        return;
    }
    log().event("repaired",
                {{"kind", kind_},
                 {"deep", repaired.deep},
                 {"numbers", repaired.numbers},
                 {"characters", repaired.characters}},
                "Parts of the store's objects can't be read and are replaced.");
}

} // namespace limereel::gateway
