// One entry: the HTTP face towards callers, operators and endpoints, and its way in and out of
// service.
#pragma once

#include "program/CompletionRelay.h"
#include "program/EndpointRegistry.h"
#include "program/MembershipService.h"
#include "program/ServiceRelay.h"
#include "program/Settings.h"
#include "protocol/EndpointJson.h"
#include "transport/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderthread::program {

// Only ever goes forward.
enum class EntryPhase {
    Serving,
    Leaving,  // out of the directory, still accepts: callers hold answers that name this entry
    Refusing, // new requests are told to go elsewhere; those in flight finish
};

std::string_view toString(EntryPhase phase);

struct DirectoryAnswer
{
    std::vector<state::Address> entries; // in the order in which the caller should try them
    std::chrono::milliseconds ttl{};
};

class Entry : public std::enable_shared_from_this<Entry>
{
public:
    // What the rest of the process supplies.
    struct Hooks
    {
        Scheduler scheduler;
        ClaimGate claims;
        std::function<DirectoryAnswer(const state::ClientAccountId &)> directory;
        // An endpoint's news came in here; it is to be passed on to the other entries.
        std::function<boost::asio::awaitable<state::Result<AnnounceAnswer>>(
                state::EndpointDescription)>
                announce;
        std::function<void(const state::EndpointId &, std::uint64_t incarnation)> left;
        std::function<void(const state::LoadReport &)> loadReported;
        std::function<void(const state::EndpointId &, const protocol::CacheEventBatch &)>
                cacheChanged;
        // More routes, for example the operators'; false if the request is none of them.
        std::function<boost::asio::awaitable<bool>(transport::HttpExchange &,
                                                   const AccountSetting *)>
                extraRoutes;
        std::function<void(const CompletionOutcome &)> completionFinished;
        std::function<void(const ServiceOutcome &)> serviceFinished;
    };

    // Error: Unavailable, step "listener.bind".
    static state::Result<std::shared_ptr<Entry>> create(const Settings &settings,
                                                        boost::asio::io_context &context,
                                                        std::shared_ptr<EndpointRegistry> registry,
                                                        Hooks hooks);

    void start();
    void enter(EntryPhase phase);
    EntryPhase phase() const { return this->currentPhase; }
    std::size_t inFlight() const { return this->requestsInFlight; }
    state::Address address() const { return this->server->address(); }
    void stopAccepting() { this->server->stopAccepting(); }

private:
    Entry(const Settings &settings, std::shared_ptr<EndpointRegistry> registry, Hooks hooks);

    boost::asio::awaitable<void> handle(transport::HttpExchange &exchange);
    boost::asio::awaitable<void> handleWork(transport::HttpExchange &exchange,
                                            const AccountSetting &account);
    boost::asio::awaitable<void> handleEndpointCall(transport::HttpExchange &exchange,
                                                    std::string_view path);
    boost::asio::awaitable<protocol::HttpResponse> announce(const protocol::HttpRequest &request);
    protocol::HttpResponse endpointNews(const protocol::HttpRequest &request,
                                        const state::EndpointId &id, std::string_view call);
    protocol::HttpResponse directoryAnswer(const protocol::HttpRequest &request) const;
    protocol::HttpResponse statusAnswer() const;
    protocol::HttpResponse refuseElsewhere(const state::ClientAccountId &account) const;
    const AccountSetting *authenticate(const protocol::HttpRequest &request) const;
    state::RequestId nextRequestId();

    const Settings &settings;
    std::shared_ptr<EndpointRegistry> registry;
    Hooks hooks;
    std::unordered_map<std::string, AccountSetting> accountsByKey;
    CompletionRelay completions;
    ServiceRelay services;
    std::shared_ptr<transport::HttpServer> server;
    std::atomic<EntryPhase> currentPhase = EntryPhase::Serving;
    std::atomic<std::size_t> requestsInFlight = 0;
    std::atomic<std::uint64_t> requestCounter = 0;
    std::string requestPrefix; // differs for each start of the process
};

} // namespace lavenderthread::program
