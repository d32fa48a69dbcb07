// The endpoint's calls to entries, one after the other.
#include "fakes/Announcer.h"
#include "fakes/HttpClient.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>
#include <optional>

namespace lavenderthread::fakes {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds roundInterval{100};

json::object eventObject(const CacheEvent &event)
{
    if (event.kind == CacheEvent::Kind::Cleared)
        return {{"op", "cleared"}};
    char hash[17] = {};
    std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(event.block));
    return {{"op", event.kind == CacheEvent::Kind::Stored ? "stored" : "evicted"},
            {"block", hash},
            {"tokens", blockTokens}};
}

std::optional<std::chrono::milliseconds> renewAfter(const Response &response)
{
    boost::system::error_code problem;
    const json::value body = json::parse(response.body(), problem);
    if (problem || !body.is_object())
        return std::nullopt;
    const auto *renew = body.as_object().if_contains("renew_after_ms");
    if (renew == nullptr || !renew->is_int64())
        return std::nullopt;
    return std::chrono::milliseconds(renew->as_int64());
}

} // namespace

Announcer::Announcer(AnnouncerSettings settings, AnnouncerHooks hooks)
    : settings(std::move(settings))
    , hooks(std::move(hooks))
    , thread([this] { this->run(); })
{}

Announcer::~Announcer()
{
    this->stop();
}

void Announcer::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void Announcer::leave()
{
    this->stop();
    if (this->announced)
        this->post("leave", json::serialize(json::object{
                                    {"incarnation", this->settings.description.incarnation}}));
    this->announced = false;
}

void Announcer::run()
{
    if (this->settings.entries.empty())
        return;
    do {
        this->samples.emplace_back(Clock::now(), this->hooks.load());
        if (Clock::now() >= this->renewAt)
            this->announce();
        if (this->announced)
            this->reportLoad();
        if (this->announced)
            this->sendCacheEvents();
    } while (this->waitForNextRound());
}

bool Announcer::waitForNextRound()
{
    std::unique_lock lock(this->mutex);
    return !this->wake.wait_for(lock, roundInterval, [this] { return this->stopping; });
}

void Announcer::announce()
{
    const auto answer =
            call(this->entry(), {http::verb::post, "/v1/endpoints/announce", this->announcement()});
    std::optional<std::chrono::milliseconds> renew;
    if (answer.has_value() && answer.value().result() == http::status::ok)
        renew = renewAfter(answer.value());
    this->announced = renew.has_value();
    if (renew)
        this->renewAt = Clock::now() + *renew;
    else
        this->entryIndex = (this->entryIndex + 1) % this->settings.entries.size();
}

std::string Announcer::announcement() const
{
    const state::EndpointDescription &self = this->settings.description;
    json::array models;
    for (const std::string &model : this->hooks.models())
        models.emplace_back(model);
    return json::serialize(json::object{
            {"id", self.id.value()},
            {"address", self.address.toString()},
            {"kind", self.kind == state::EndpointKind::Engine ? "engine" : "plain-service"},
            {"failure_domain", self.failureDomain.value()},
            {"service", self.service.value()},
            {"models", std::move(models)},
            {"incarnation", self.incarnation},
            {"kv_capacity_tokens", self.kvCapacityTokens},
            {"prefill_tokens_per_second", self.prefillTokensPerSecond},
            {"decode_tokens_per_second", self.decodeTokensPerSecond},
            {"honours_fencing", self.honoursFencing},
    });
}

void Announcer::reportLoad()
{
    const auto newestAllowed = Clock::now() - this->settings.reportLag;
    std::optional<EngineLoad> due;
    while (!this->samples.empty() && this->samples.front().first <= newestAllowed) {
        due = this->samples.front().second;
        this->samples.pop_front();
    }
    if (!due)
        return;
    this->post("load", json::serialize(json::object{
                               {"incarnation", this->settings.description.incarnation},
                               {"sequence", ++this->loadSequence},
                               {"running_requests", due->runningRequests},
                               {"waiting_requests", due->waitingRequests},
                               {"waiting_prefill_tokens", due->waitingPrefillTokens},
                               {"kv_used_tokens", due->kvUsedTokens},
                       }));
}

void Announcer::sendCacheEvents()
{
    for (const CacheEventBatch &batch : this->hooks.takeCacheEvents()) {
        json::array events;
        for (const CacheEvent &event : batch.events)
            events.push_back(eventObject(event));
        this->post("cache-events", json::serialize(json::object{
                                           {"incarnation", this->settings.description.incarnation},
                                           {"first_sequence", batch.firstSequence},
                                           {"events", std::move(events)},
                                   }));
    }
}

void Announcer::post(const std::string &name, const std::string &body)
{
    const std::string target =
            "/v1/endpoints/" + this->settings.description.id.value() + "/" + name;
    const auto answer = call(this->entry(), {http::verb::post, target, body});
    if (answer.has_value() && answer.value().result() == http::status::not_found)
        this->renewAt = Clock::time_point();
    if (answer.has_value())
        return;
    this->entryIndex = (this->entryIndex + 1) % this->settings.entries.size();
    this->renewAt = Clock::time_point();
}

} // namespace lavenderthread::fakes
