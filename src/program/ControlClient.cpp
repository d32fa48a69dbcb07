// Calls go to the member that is thought to lead; its refusal names the leader.
#include "program/ControlClient.h"

#include "program/Clock.h"
#include "program/Log.h"
#include "protocol/ControlCommands.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <xxhash.h>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace control = state::control;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callTimeout{1'500};
constexpr milliseconds connectTimeout{300};
constexpr milliseconds pauseBetweenTries{50};
constexpr milliseconds pollInterval{100};
constexpr milliseconds releaseTime{5'000};
constexpr unsigned statusOk = 200;

ClaimAnswer toClaimAnswer(const control::ClaimAnswer &answer)
{
    using Verdict = control::ClaimVerdict;
    ClaimAnswer result;
    switch (answer.verdict) {
    case Verdict::Granted:
        result.verdict = ClaimVerdict::Granted;
        break;
    case Verdict::InProgress:
        result.verdict = ClaimVerdict::InProgress;
        break;
    case Verdict::OtherBody:
        result.verdict = ClaimVerdict::Conflict;
        break;
    case Verdict::AlreadyRan:
        result.verdict = ClaimVerdict::Finished;
        if (answer.result) {
            result.result.status = answer.result->status;
            if (!answer.result->contentType.empty())
                result.result.headers.add("Content-Type", answer.result->contentType);
            result.result.body = answer.result->body;
        }
        break;
    default:
        result.verdict = ClaimVerdict::Unknown;
        break;
    }
    return result;
}

control::ClaimResult toClaimResult(const protocol::HttpResponse &response)
{
    control::ClaimResult result;
    result.status = static_cast<std::uint16_t>(response.status);
    result.contentType = std::string(response.headers.find("Content-Type").value_or(""));
    result.body = response.body;
    return result;
}

// Whether a claim command took effect for its holder.
bool granted(const state::Result<ControlClient::Committed> &committed)
{
    if (!committed)
        return false;
    const auto *answer = std::get_if<control::ClaimAnswer>(&committed.value().answer);
    return answer != nullptr && answer->verdict == control::ClaimVerdict::Granted;
}

} // namespace

ControlClient::ControlClient(const Settings &settings, asio::io_context &context, Hooks hooks)
    : settings(settings)
    , strand(asio::make_strand(context))
    , hooks(std::move(hooks))
    , feed({}, settings.controlMembers.size(),
           XXH3_64bits(settings.vm.value().data(), settings.vm.value().size()))
{}

std::shared_ptr<ControlClient> ControlClient::create(const Settings &settings,
                                                     asio::io_context &context, Hooks hooks)
{
    return std::shared_ptr<ControlClient>(new ControlClient(settings, context, std::move(hooks)));
}

void ControlClient::start()
{
    asio::co_spawn(
            this->strand,
            [](std::shared_ptr<ControlClient> self) -> asio::awaitable<void> {
                co_await self->feedLoop();
            }(this->shared_from_this()),
            asio::detached);
}

asio::awaitable<state::Result<protocol::ControlReply>>
ControlClient::call(std::size_t member, const protocol::ControlCall &request)
{
    protocol::HttpRequest http;
    http.method = "POST";
    http.target = "/v1/peer/control";
    http.body = protocol::sealControlCall(this->settings.keys, request);
    transport::HttpCallLimits limits;
    limits.connectTimeout = connectTimeout;
    limits.timeout = callTimeout;
    const state::Address peer = this->settings.controlMembers[member].entry;
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto answer = co_await transport::httpCall(executor, peer, std::move(http), limits);
    if (!answer)
        co_return answer.error();
    if (answer.value().status != statusOk)
        co_return state::makeError(state::ErrorCode::Unavailable, "control.call",
                                   "answered " + std::to_string(answer.value().status),
                                   peer.toString());
    auto reply = protocol::unsealControlReply(this->settings.keys, answer.value().body);
    if (reply)
        this->noteLeader(reply.value().leader);
    co_return reply;
}

void ControlClient::noteLeader(const state::Address &address)
{
    for (std::size_t index = 0; index < this->settings.controlMembers.size(); ++index) {
        if (this->settings.controlMembers[index].address == address)
            this->leader = index;
    }
}

asio::awaitable<state::Result<ControlClient::Committed>>
ControlClient::propose(control::Command command, state::Instant deadline)
{
    const protocol::ControlCall request = protocol::ProposeCall{protocol::encodeCommand(command)};
    std::size_t member = this->leader;
    while (remaining(deadline) > milliseconds(0)) {
        const auto reply = co_await this->call(member, request);
        const auto *proposed =
                reply ? std::get_if<protocol::ProposeReply>(&reply.value().body) : nullptr;
        if (proposed != nullptr && proposed->committed) {
            auto answer = protocol::decodeAnswer(proposed->answer);
            if (!answer)
                co_return answer.error();
            Committed committed;
            committed.answer = std::move(answer.value());
            committed.position = proposed->position;
            co_return committed;
        }
        // The hint if it is a new one, else the next member in turn.
        const std::size_t hint = this->leader;
        member = hint != member ? hint : (member + 1) % this->settings.controlMembers.size();
        co_await transport::pause(pauseBetweenTries);
    }
    co_return state::makeError(state::ErrorCode::Timeout, "control.propose",
                               "no control member has committed it in time");
}

asio::awaitable<state::Result<protocol::EnforcementReply>>
ControlClient::enforcement(std::uint64_t version)
{
    const protocol::ControlCall request = protocol::EnforcementCall{version};
    const std::size_t tries = this->settings.controlMembers.size() * 2;
    std::size_t member = this->leader;
    for (std::size_t attempt = 0; attempt < tries; ++attempt) {
        const auto reply = co_await this->call(member, request);
        const auto *found =
                reply ? std::get_if<protocol::EnforcementReply>(&reply.value().body) : nullptr;
        if (found != nullptr && found->confirmed)
            co_return *found;
        const std::size_t hint = this->leader;
        member = hint != member ? hint : (member + 1) % this->settings.controlMembers.size();
        co_await transport::pause(pauseBetweenTries);
    }
    co_return state::makeError(state::ErrorCode::Unavailable, "control.enforcement",
                               "no leader answers");
}

asio::awaitable<void> ControlClient::feedLoop()
{
    while (!this->stopped) {
        const auto due = this->feed.poll(monotonicNow());
        if (due) {
            const protocol::ControlCall request =
                    protocol::FeedCall{this->settings.vm, due->version};
            // The leader alone can confirm; every reply names it.
            const std::size_t asked = this->leader;
            const auto reply = co_await this->call(asked, request);
            const auto *feedReply =
                    reply ? std::get_if<protocol::FeedReply>(&reply.value().body) : nullptr;
            bool viewChanged = false;
            if (feedReply == nullptr) {
                this->feed.onRequestFailed(due->id);
                this->leader = (this->leader + 1) % this->settings.controlMembers.size();
            } else {
                coordination::orders::FeedAnswer answer{
                        due->id, feedReply->confirmed, feedReply->version, {}};
                for (const std::string &bytes : feedReply->pages) {
                    auto page = protocol::decodeFeedPage(bytes);
                    if (page)
                        answer.pages.push_back(std::move(page.value()));
                }
                viewChanged = this->feed.onAnswer(answer, monotonicNow());
            }
            this->afterAnswer(viewChanged);
        } else {
            this->afterAnswer(false);
        }
        co_await transport::pause(pollInterval);
    }
}

void ControlClient::afterAnswer(bool viewChanged)
{
    const bool now = this->feed.admits(monotonicNow());
    const bool before = this->fresh.exchange(now);
    if (viewChanged)
        this->published.publish(this->feed.view());
    if (viewChanged || now != before) {
        logEvent(now ? LogLevel::Info : LogLevel::Warning, "control.view",
                 {{"version", this->feed.view().version}, {"fresh", now ? "yes" : "no"}});
        this->hooks.changed(this->feed.view(), now);
    }
}

ClaimGate ControlClient::claimGate(std::uint64_t entryIncarnation)
{
    const auto self = this->shared_from_this();
    const auto holderOf = [vm = this->settings.vm, entryIncarnation](const std::string &attempt) {
        return control::ClaimHolder{vm, entryIncarnation, state::RequestId(attempt)};
    };
    ClaimGate gate;
    gate.take = [self,
                 holderOf](ClaimKey key, std::string body, std::string attempt,
                           state::Instant deadline) -> asio::awaitable<state::Result<ClaimAnswer>> {
        const control::TakeClaim command{control::ClaimId::of(key.account, key.key), key.account,
                                         control::Digest::of(body), holderOf(attempt),
                                         deadline - monotonicNow()};
        control::Command proposal = command;
        const auto committed = co_await self->propose(std::move(proposal), deadline);
        if (!committed)
            co_return committed.error();
        const auto *answer = std::get_if<control::ClaimAnswer>(&committed.value().answer);
        if (answer == nullptr)
            co_return state::makeError(state::ErrorCode::Internal, "claim.take", "wrong answer");
        if (answer->verdict == control::ClaimVerdict::Full)
            co_return state::makeError(state::ErrorCode::Overloaded, "claim.take",
                                       "no room for another claim");
        co_return toClaimAnswer(*answer);
    };
    gate.beginDispatch = [self, holderOf](ClaimKey key, std::string attempt,
                                          state::Instant deadline) -> asio::awaitable<bool> {
        const control::DispatchClaim command{control::ClaimId::of(key.account, key.key),
                                             holderOf(attempt)};
        control::Command proposal = command;
        const auto committed = co_await self->propose(std::move(proposal), deadline);
        co_return granted(committed);
    };
    gate.release = [self, holderOf](ClaimKey key, std::string attempt) -> asio::awaitable<bool> {
        const control::ReleaseClaim command{control::ClaimId::of(key.account, key.key),
                                            holderOf(attempt)};
        control::Command proposal = command;
        const auto committed =
                co_await self->propose(std::move(proposal), monotonicNow() + releaseTime);
        co_return granted(committed);
    };
    gate.finish = [self, holderOf](ClaimKey key, std::string attempt,
                                   protocol::HttpResponse result) -> asio::awaitable<void> {
        const control::FinishClaim command{control::ClaimId::of(key.account, key.key),
                                           holderOf(attempt), toClaimResult(result)};
        control::Command proposal = command;
        co_await self->propose(std::move(proposal), monotonicNow() + releaseTime);
    };
    return gate;
}

} // namespace lavenderthread::program
