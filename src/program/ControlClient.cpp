// Sends each call to the presumed leader; another member names the leader in its reply.
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

#include <algorithm>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace control = state::control;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds callTimeout{1'500};
constexpr milliseconds connectTimeout{300};
// A kept connection may go silent without a reset. The view expires soon after, so a member that
// doesn't acknowledge a request for so long is connected to anew.
constexpr milliseconds silentConnectionTimeout{300};
constexpr milliseconds pauseBetweenTries{50};
constexpr milliseconds feedWait{1'000}; // longest time a member holds a poll for pages
constexpr state::Duration feedInterval = milliseconds(1'000); // between confirmations
// The member polled for pages has them within a heartbeat after the leader reports a version; after
// this time the pages are requested from the leader itself.
constexpr state::Duration pagesGrace = milliseconds(250);
constexpr milliseconds longestFeedPause{100};
constexpr milliseconds feedRetry{60}; // while no member confirms the view
constexpr milliseconds releaseTime{5'000};
constexpr unsigned statusOk = 200;

// Why an entry leaves a source of pages, in the log.
constexpr std::string_view sourceIsBehind = "behind";
constexpr std::string_view sourceIsAway = "no-answer";

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

coordination::orders::FeedSettings feedSettings(const Settings &settings)
{
    coordination::orders::FeedSettings feed;
    feed.refreshInterval = feedInterval;
    feed.admitWhenStale = settings.admitWhenStale;
    feed.inForceWithin = settings.changeInForce;
    feed.lease = std::min(feed.lease, feed.inForceWithin * 2 / 3);
    return feed;
}

// Returns whether a claim command was committed and granted to its holder.
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
    , feed(feedSettings(settings), 1, 0)
    , rotation(XXH3_64bits(settings.vm.value().data(), settings.vm.value().size()))
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
    asio::co_spawn(
            this->strand,
            [](std::shared_ptr<ControlClient> self) -> asio::awaitable<void> {
                co_await self->pagesLoop();
            }(this->shared_from_this()),
            asio::detached);
}

asio::awaitable<state::Result<protocol::ControlReply>>
ControlClient::call(ControlMemberAddress member, protocol::ControlCall request,
                    milliseconds timeout, transport::HttpConnection *kept)
{
    if (this->hooks.ownMember && member.consensus == this->hooks.ownAddress) {
        protocol::ControlReply own = co_await this->hooks.ownMember(std::move(request));
        co_return own;
    }
    protocol::HttpRequest http;
    http.method = "POST";
    http.target = "/v1/peer/control";
    http.body = protocol::sealControlCall(this->settings.keys, request);
    transport::HttpCallLimits limits;
    limits.connectTimeout = connectTimeout;
    limits.timeout = timeout;
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    state::Result<protocol::HttpResponse> answer = protocol::HttpResponse();
    if (kept != nullptr) {
        limits.unacknowledgedTimeout = silentConnectionTimeout;
        answer = co_await kept->call(executor, member.entry, std::move(http), limits);
    } else {
        answer = co_await transport::httpCall(executor, member.entry, std::move(http), limits);
    }
    if (!answer)
        co_return answer.error();
    if (answer.value().status != statusOk)
        co_return state::makeError(state::ErrorCode::Unavailable, "control.call",
                                   "answered " + std::to_string(answer.value().status),
                                   member.entry.toString());
    co_return protocol::unsealControlReply(this->settings.keys, answer.value().body);
}

// Returns the last known leader unless it has just failed; otherwise the members in rotation.
std::optional<ControlMemberAddress>
ControlClient::nextMember(const std::optional<state::Address> &failed)
{
    const std::vector<ControlMemberAddress> members = this->hooks.members();
    if (members.empty())
        return std::nullopt;
    const std::optional<state::Address> hint = *this->leader.read();
    if (hint && hint != failed) {
        const auto found = std::ranges::find(members, *hint, &ControlMemberAddress::consensus);
        if (found != members.end())
            return *found;
    }
    return members[this->rotation++ % members.size()];
}

asio::awaitable<state::Result<protocol::ControlReply>>
ControlClient::callLeader(protocol::ControlCall request, ReplyPredicate accepts, const char *step,
                          state::Instant deadline)
{
    std::optional<state::Address> failed;
    while (remaining(deadline) > milliseconds(0)) {
        const std::optional<ControlMemberAddress> member = this->nextMember(failed);
        if (member) {
            auto reply = co_await this->call(*member, request, callTimeout);
            const bool leaderKnown = reply && reply.value().leader.port != 0;
            this->leader.publish(leaderKnown ? std::optional(reply.value().leader) : std::nullopt);
            if (reply && accepts(reply.value()))
                co_return reply;
            failed = member->consensus;
        }
        co_await transport::pause(pauseBetweenTries);
    }
    co_return state::makeError(state::ErrorCode::Timeout, step,
                               "no control member has answered for a quorum in time");
}

asio::awaitable<state::Result<ControlClient::Committed>>
ControlClient::propose(control::Command command, state::Instant deadline)
{
    protocol::ControlCall request = protocol::ProposeCall{protocol::encodeCommand(command)};
    ReplyPredicate accepts = [](const protocol::ControlReply &reply) {
        const auto *proposed = std::get_if<protocol::ProposeReply>(&reply.body);
        return proposed != nullptr && proposed->committed;
    };
    const auto reply = co_await this->callLeader(std::move(request), std::move(accepts),
                                                 "control.propose", deadline);
    if (!reply)
        co_return reply.error();
    const auto &proposed = std::get<protocol::ProposeReply>(reply.value().body);
    auto answer = protocol::decodeAnswer(proposed.answer);
    if (!answer)
        co_return answer.error();
    Committed committed;
    committed.answer = std::move(answer.value());
    committed.position = proposed.position;
    co_return committed;
}

asio::awaitable<state::Result<protocol::EnforcementReply>>
ControlClient::enforcement(std::uint64_t version, state::Instant deadline)
{
    protocol::ControlCall request = protocol::EnforcementCall{version};
    ReplyPredicate accepts = [](const protocol::ControlReply &reply) {
        const auto *found = std::get_if<protocol::EnforcementReply>(&reply.body);
        return found != nullptr && found->confirmed;
    };
    const auto reply = co_await this->callLeader(std::move(request), std::move(accepts),
                                                 "control.enforcement", deadline);
    if (!reply)
        co_return reply.error();
    co_return std::get<protocol::EnforcementReply>(reply.value().body);
}

asio::awaitable<state::Result<control::ConfigurationDocument>>
ControlClient::configuration(state::Instant deadline)
{
    protocol::ControlCall request = protocol::ConfigurationCall{};
    ReplyPredicate accepts = [](const protocol::ControlReply &reply) {
        const auto *found = std::get_if<protocol::ConfigurationReply>(&reply.body);
        return found != nullptr && found->confirmed;
    };
    const auto reply = co_await this->callLeader(std::move(request), std::move(accepts),
                                                 "control.configuration", deadline);
    if (!reply)
        co_return reply.error();
    co_return std::get<protocol::ConfigurationReply>(reply.value().body).document;
}

asio::awaitable<void> ControlClient::feedLoop()
{
    while (!this->stopped) {
        bool viewChanged = false;
        if (const auto due = this->feed.poll(monotonicNow()))
            viewChanged = co_await this->pollFeed(*due);
        this->publishView(viewChanged);
        const auto untilNext =
                std::chrono::ceil<milliseconds>(this->feed.nextPoll() - monotonicNow());
        co_await transport::pause(std::clamp(untilNext, milliseconds(1), longestFeedPause));
    }
}

// Polls the leader, which alone can confirm the view; every reply names the leader. Returns true if
// the view has changed.
asio::awaitable<bool> ControlClient::pollFeed(coordination::orders::FeedRequest due)
{
    const std::optional<ControlMemberAddress> member =
            this->nextMember(this->unconfirmedFeedMember);
    if (!member) {
        this->feed.onRequestFailed(due.id);
        this->feed.retryAt(monotonicNow() + feedRetry);
        co_return false;
    }
    const bool sourceLags = std::exchange(this->awaitingPages, false);
    if (sourceLags)
        this->switchPageSource(sourceIsBehind);
    // Without a leader, any member that answers may hold a change that this entry lacks.
    const bool pages = sourceLags || !this->feedConfirmed;
    const state::Instant askedAt = monotonicNow();
    const auto timeout = std::chrono::ceil<milliseconds>(this->feedPatience.timeout());
    const auto reply =
            co_await this->callFeed(this->feedConnection, *member, pages, milliseconds(0), timeout);
    const auto *feedReply = reply ? std::get_if<protocol::FeedReply>(&reply.value().body) : nullptr;
    const bool leaderKnown = reply && reply.value().leader.port != 0;
    this->leader.publish(leaderKnown ? std::optional(reply.value().leader) : std::nullopt);
    const bool confirmed = feedReply != nullptr && feedReply->confirmed;
    if (confirmed)
        this->feedPatience.onAnswer(monotonicNow() - askedAt);
    this->logFeedTransition(member->entry, confirmed);
    this->unconfirmedFeedMember = confirmed ? std::nullopt : std::optional(member->consensus);
    if (!confirmed)
        this->feed.retryAt(monotonicNow() + feedRetry);
    if (feedReply == nullptr) {
        this->feedPatience.onTimeout();
        this->feed.onRequestFailed(due.id);
        co_return false;
    }
    const coordination::orders::FeedAnswer answer{due.id, feedReply->confirmed, feedReply->version,
                                                  this->decodePages(*feedReply, *member)};
    const std::optional<state::Instant> behindSince = this->feed.behindSince();
    const bool changed = this->feed.onAnswer(answer, monotonicNow());
    if (changed)
        this->logFetchedChange(*member, *feedReply, askedAt, behindSince);
    this->awaitingPages = confirmed && feedReply->version > this->feed.view().version;
    if (this->awaitingPages)
        this->feed.retryAt(monotonicNow() + pagesGrace);
    co_return changed;
}

// Fetches pages from one member that this entry selects. A leader that sent every change to all
// entries itself would use up its share of a core and lose leadership under frequent changes.
asio::awaitable<void> ControlClient::pagesLoop()
{
    while (!this->stopped) {
        const bool changed = co_await this->fetchPages();
        if (changed && !this->fresh)
            this->feed.retryAt(monotonicNow()); // only the leader's confirmation is missing
        this->publishView(changed);
        co_await transport::pause(changed ? milliseconds(1) : feedRetry);
    }
}

// Returns true if the view has changed.
asio::awaitable<bool> ControlClient::fetchPages()
{
    const std::optional<ControlMemberAddress> member = this->pageSource();
    if (!member)
        co_return false;
    const state::Instant askedAt = monotonicNow();
    const auto reply =
            co_await this->callFeed(this->pagesConnection, *member, true, feedWait, callTimeout);
    const auto *feedReply = reply ? std::get_if<protocol::FeedReply>(&reply.value().body) : nullptr;
    if (feedReply == nullptr) {
        this->switchPageSource(sourceIsAway);
        co_return false;
    }
    const std::optional<state::Instant> behindSince = this->feed.behindSince();
    this->pageSourceVersion = feedReply->version;
    this->feed.onVersionReported(feedReply->version, monotonicNow());
    const bool changed = this->feed.onPages(this->decodePages(*feedReply, *member));
    if (changed)
        this->logFetchedChange(*member, *feedReply, askedAt, behindSince);
    else if (behindSince && monotonicNow() >= *behindSince + pagesGrace
             && this->feed.isBehind(feedReply->version))
        this->switchPageSource(sourceIsBehind);
    co_return changed;
}

// Pages of an outdated reply are based on a configuration that this entry no longer holds. They are
// dropped without loss.
std::vector<control::FeedPage> ControlClient::decodePages(const protocol::FeedReply &reply,
                                                          const ControlMemberAddress &member)
{
    const control::ConfigurationDocument &held = this->feed.view().configuration;
    auto pages = protocol::decodeFeedContent(reply.content, held);
    if (pages) {
        this->needsFullConfiguration = false;
        return std::move(pages.value());
    }
    if (pages.error().code != state::ErrorCode::Conflict) {
        logError("control.page-refused", pages.error().withPeer(member.entry.toString()));
        this->needsFullConfiguration = true;
    }
    return {};
}

void ControlClient::logFetchedChange(const ControlMemberAddress &member,
                                     const protocol::FeedReply &reply, state::Instant askedAt,
                                     std::optional<state::Instant> behindSince)
{
    const state::Instant now = monotonicNow();
    std::uint64_t bytes =
            reply.content.configuration ? reply.content.configuration->bytes.size() : 0;
    for (const std::string &page : reply.content.pages)
        bytes += page.size();
    logEvent(LogLevel::Info, "control.fetched",
             {{"version", this->feed.view().version},
              {"configuration", this->feed.view().configuration.version},
              {"peer", member.entry.toString()},
              {"bytes", bytes},
              {"asked_us", std::int64_t((now - askedAt).count())},
              {"behind_us", std::int64_t(behindSince ? (now - *behindSince).count() : 0)}});
}

asio::awaitable<state::Result<protocol::ControlReply>>
ControlClient::callFeed(transport::HttpConnection &connection, ControlMemberAddress member,
                        bool pages, milliseconds wait, milliseconds timeout)
{
    protocol::FeedCall feedCall;
    feedCall.entry = this->settings.vm;
    feedCall.version = this->feed.view().version;
    if (!this->needsFullConfiguration)
        feedCall.configuration = this->feed.view().configuration.version;
    feedCall.waitMs = static_cast<std::uint32_t>(wait.count());
    feedCall.pages = pages;
    protocol::ControlCall request = feedCall;
    co_return co_await this->call(std::move(member), std::move(request), timeout, &connection);
}

// Returns the member in this process, or one chosen by a hash of the VM id, which spreads the
// entries evenly over the members.
std::optional<ControlMemberAddress> ControlClient::pageSource() const
{
    const std::vector<ControlMemberAddress> members = this->hooks.members();
    if (members.empty())
        return std::nullopt;
    const auto own =
            std::ranges::find(members, this->hooks.ownAddress, &ControlMemberAddress::consensus);
    if (this->hooks.ownMember && own != members.end() && this->pageSourceRotation % 2 == 0)
        return *own;
    const std::string &vm = this->settings.vm.value();
    const std::size_t first = XXH3_64bits(vm.data(), vm.size());
    return members[(first + this->pageSourceRotation) % members.size()];
}

// Logs once when contact with the control members is lost or regained, not once for each attempt.
void ControlClient::logFeedTransition(const state::Address &member, bool confirmed)
{
    if (confirmed == this->feedConfirmed)
        return;
    this->feedConfirmed = confirmed;
    logEvent(confirmed ? LogLevel::Info : LogLevel::Warning,
             confirmed ? "control.regained" : "control.lost",
             {{"peer", member.toString()}, {"version", this->feed.view().version}});
}

// Logs once when decisions by this view become more or less reliable.
void ControlClient::logStandingTransition(const coordination::orders::ViewLease &held)
{
    using coordination::orders::ViewStatus;
    const state::Instant now = monotonicNow();
    const ViewStatus status = held.statusAt(now);
    if (std::exchange(this->loggedStanding, status) == status)
        return;
    const std::optional<state::Instant> behindSince = this->feed.behindSince();
    logEvent(status == ViewStatus::Confirmed ? LogLevel::Info : LogLevel::Warning,
             "control.standing",
             {{"version", this->feed.view().version},
              {"configuration", this->feed.view().configuration.version},
              {"standing", status == ViewStatus::Confirmed     ? "confirmed"
                           : status == ViewStatus::Unconfirmed ? "unconfirmed"
                                                               : "outdated"},
              {"behind_us", std::int64_t(behindSince ? (now - *behindSince).count() : 0)}});
}

// Logs only a source that had answered, not each of a series of members that are away.
void ControlClient::switchPageSource(std::string_view cause)
{
    const std::optional<ControlMemberAddress> left = this->pageSource();
    ++this->pageSourceRotation;
    const std::optional<ControlMemberAddress> next = this->pageSource();
    const std::uint64_t versionThere = std::exchange(this->pageSourceVersion, 0);
    if (versionThere == 0 && cause != sourceIsBehind)
        return;
    logEvent(LogLevel::Info, "control.source",
             {{"left", left ? left->entry.toString() : std::string()},
              {"cause", cause},
              {"version_there", versionThere},
              {"version", this->feed.view().version},
              {"next", next ? next->entry.toString() : std::string()}});
}

void ControlClient::publishView(bool viewChanged)
{
    const bool now = this->feed.admits(monotonicNow());
    const bool before = this->fresh.exchange(now);
    if (viewChanged)
        this->published.publish(this->feed.view());
    const coordination::orders::ViewLease held = this->feed.lease();
    this->logStandingTransition(held);
    if (!(held == *this->lease.read()))
        this->lease.publish(held);
    if (viewChanged || now != before) {
        logEvent(now ? LogLevel::Info : LogLevel::Warning, "control.view",
                 {{"version", this->feed.view().version}, {"fresh", now ? "yes" : "no"}});
        this->hooks.changed(this->feed.view(), now);
    }
}

coordination::orders::ViewStatus ControlClient::standing() const
{
    return this->lease.read()->statusAt(monotonicNow());
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
