// One entry: the HTTP server for callers, operators and endpoints, and the phases of its shutdown.
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
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderthread::program {

// The phase of an entry. Only moves forward.
enum class EntryPhase {
    Serving,
    Leaving,  // no longer in the directory; still accepts, as callers have cached older directories
    Refusing, // new requests are refused and sent elsewhere; those in flight finish
};

std::string_view toString(EntryPhase phase);

// The entries that a client account should use.
struct DirectoryAnswer
{
    std::vector<state::Address> entries; // in the order in which the caller should try them
    std::chrono::milliseconds ttl{};
};

// Authenticates and dispatches requests to the completion and service relays, and serves the
// directory, status and endpoint interfaces.
class Entry : public std::enable_shared_from_this<Entry>
{
public:
    // Functions that the rest of the process supplies.
    struct Hooks
    {
        Scheduler scheduler;
        std::shared_ptr<RequestGuard> guard;
        ClaimGate claims;
        std::function<DirectoryAnswer(const state::ClientAccountId &)> directory;
        // Called with an endpoint's announcement; passes it on to the other entries.
        std::function<boost::asio::awaitable<state::Result<AnnounceAnswer>>(
                state::EndpointDescription)>
                announce;
        // Complete when the others know it, too; see Cluster::withdraw.
        std::function<boost::asio::awaitable<state::Result<void>>(state::EndpointId,
                                                                  std::uint64_t incarnation)>
                left;
        std::function<void(const state::LoadReport &)> loadReported;
        std::function<void(const state::EndpointId &, const protocol::CacheEventBatch &)>
                cacheChanged;
        // Looks up an account in the operators' catalog; used in addition to the settings'
        // accounts.
        std::function<std::optional<AccountSetting>(std::string_view key)> accountOfKey;
        // False while the view of the table is not confirmed to be up to date.
        std::function<bool()> isAdmissionAllowed;
        // Handles further routes, such as the operators'; false if the request matches none of
        // them.
        std::function<boost::asio::awaitable<bool>(transport::HttpExchange &,
                                                   const AccountSetting *)>
                extraRoutes;
        std::function<void(const CompletionOutcome &)> completionFinished;
        std::function<void(const ServiceOutcome &)> serviceFinished;
        std::shared_ptr<OpenRequests> openRequests = OpenRequests::create(); // of the process
        std::shared_ptr<AnswerBuffers> answerBuffers =
                std::make_shared<AnswerBuffers>(); // likewise
        std::shared_ptr<transport::ConnectionPool> pool =
                transport::ConnectionPool::create(); // likewise
    };

    // Error: Unavailable, step "listener.bind".
    static state::Result<std::shared_ptr<Entry>> create(const Settings &settings,
                                                        boost::asio::io_context &context,
                                                        std::shared_ptr<EndpointRegistry> registry,
                                                        Hooks hooks);

    void start();
    void enter(EntryPhase phase);
    EntryPhase phase() const { return this->currentPhase; }
    state::Address address() const { return this->server->address(); }
    void stopAccepting() { this->server->stopAccepting(); }
    std::size_t openExchanges() const { return this->server->openExchanges(); }

private:
    Entry(const Settings &settings, std::shared_ptr<EndpointRegistry> registry, Hooks hooks);

    boost::asio::awaitable<void> handle(transport::HttpExchange &exchange);
    boost::asio::awaitable<void> handleWork(transport::HttpExchange &exchange,
                                            const AccountSetting &account);
    boost::asio::awaitable<void> handleEndpointCall(transport::HttpExchange &exchange,
                                                    std::string_view path);
    boost::asio::awaitable<protocol::HttpResponse> announce(const protocol::HttpRequest &request);
    boost::asio::awaitable<protocol::HttpResponse> leave(const protocol::HttpRequest &request,
                                                         state::EndpointId id);
    protocol::HttpResponse handleEndpointUpdate(const protocol::HttpRequest &request,
                                                const state::EndpointId &id, std::string_view call);
    protocol::HttpResponse directoryAnswer(const protocol::HttpRequest &request) const;
    protocol::HttpResponse statusAnswer() const;
    protocol::HttpResponse refuseElsewhere(const state::ClientAccountId &account) const;
    std::optional<AccountSetting> authenticate(const protocol::HttpRequest &request) const;
    state::RequestId nextRequestId();

    const Settings &settings;
    std::shared_ptr<EndpointRegistry> registry;
    Hooks hooks;
    std::unordered_map<std::string, AccountSetting> accountsByKey;
    CompletionRelay completions;
    ServiceRelay services;
    std::shared_ptr<transport::HttpServer> server;
    std::atomic<EntryPhase> currentPhase = EntryPhase::Serving;
    std::atomic<std::uint64_t> requestCounter = 0;
    std::string requestPrefix; // differs for each start of the process
};

} // namespace lavenderthread::program
