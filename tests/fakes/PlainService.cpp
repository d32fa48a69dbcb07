// Counting and answering of the fake plain service.
#include "fakes/PlainService.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace lavenderthread::fakes {

namespace http = boost::beast::http;
namespace json = boost::json;

Reply PlainService::handle(const Request &request)
{
    const std::lock_guard lock(this->mutex);
    const std::string path(request.target());
    if (path == "/fake/counts")
        return this->counts();
    if (this->settings.refuseEvery != 0 && ++this->calls % this->settings.refuseEvery == 0)
        return makeProblem(http::status::service_unavailable, "refused as told; did not run");
    const std::string key(request["Idempotency-Key"]);
    const std::uint64_t run = ++this->runsByCall[{path, key}];
    const json::object answer{{"path", path}, {"key", key}, {"run", run}};
    Reply reply = makeReply(http::status::ok, json::serialize(answer));
    reply.delay = this->settings.delay;
    return reply;
}

std::uint64_t PlainService::runs(const std::string &path, const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->runsByCall.find({path, key});
    return found == this->runsByCall.end() ? 0 : found->second;
}

Reply PlainService::counts()
{
    json::array all;
    for (const auto &[call, runs] : this->runsByCall)
        all.push_back(json::object{{"path", call.first}, {"key", call.second}, {"runs", runs}});
    return makeReply(http::status::ok, json::serialize(all));
}

} // namespace lavenderthread::fakes
