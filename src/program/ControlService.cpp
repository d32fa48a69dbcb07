// Calls of the entries, answered on the member's strand.
#include "program/ControlService.h"

#include "program/Clock.h"
#include "program/Log.h"
#include "protocol/ControlCommands.h"
#include "transport/Await.h"

#include <boost/asio/post.hpp>

#include <xxhash.h>

#include <optional>
#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace consensus = coordination::consensus;
using std::chrono::seconds;

namespace {

constexpr seconds advanceInterval{1};

// The founders are read only where control.bootstrap is set and the folder is new: a member whose
// disk was lost would otherwise vote again in terms in which its former self has voted, and two
// leaders could be elected in one term. It comes back under another identity instead.
state::Result<std::optional<consensus::MemberSet>> foundersOf(const Settings &settings)
{
    if (!settings.controlBootstrap)
        return std::optional<consensus::MemberSet>();
    std::vector<consensus::Member> members;
    for (const ControlMemberSetting &member : settings.controlMembers)
        members.push_back({member.id, member.address, consensus::MemberRole::Voter});
    BOOST_OUTCOME_TRY(consensus::MemberSet set, consensus::MemberSet::create(std::move(members)));
    return std::optional<consensus::MemberSet>(std::move(set));
}

std::string newIdentity(const Settings &settings)
{
    if (settings.controlBootstrap)
        return settings.vm.value();
    return settings.vm.value() + "-" + std::to_string(wallNow().time_since_epoch().count());
}

} // namespace

ControlService::ControlService(asio::io_context &context)
    : timer(context)
    , tracker(coordination::orders::FeedSettings().lease)
{}

state::Result<std::shared_ptr<ControlService>> ControlService::create(const Settings &settings,
                                                                      asio::io_context &context)
{
    std::shared_ptr<ControlService> service(new ControlService(context));
    ControlMemberHostSettings hostSettings;
    hostSettings.folder = settings.dataFolder;
    hostSettings.newIdentity = newIdentity(settings);
    BOOST_OUTCOME_TRY(hostSettings.founders, foundersOf(settings));
    hostSettings.listen = *settings.controlListen;
    hostSettings.keys = settings.keys;
    hostSettings.seed = XXH3_64bits(settings.vm.value().data(), settings.vm.value().size())
                        ^ static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    ControlMemberHostHooks hooks;
    hooks.roleChanged = [self = service.get()](const consensus::RoleChange &change) {
        self->roleChanged(change);
    };
    hooks.problem = [](const state::Error &error) {
        logEvent(LogLevel::Debug, "control.problem",
                 {{"step", error.step}, {"peer", error.peer}, {"cause", error.cause}});
    };
    BOOST_OUTCOME_TRY(service->host, ControlMemberHost::open(context, hostSettings, hooks));
    return service;
}

void ControlService::start()
{
    this->host->start();
    this->advanceTime();
}

void ControlService::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->host->stop();
}

void ControlService::roleChanged(const consensus::RoleChange &change)
{
    this->leads = change.role == consensus::Role::Leader;
    if (this->leads)
        this->tracker.leaderStarted({}, monotonicNow());
    logEvent(LogLevel::Info, "control.role",
             {{"role", this->leads ? "leader" : "not-leader"}, {"term", change.fencing.term}});
}

// Control time is counted by the leader, so that no VM's wall clock can end a claim early.
void ControlService::advanceTime()
{
    const state::Instant now = monotonicNow();
    if (this->leads && this->lastAdvance != state::Instant{}) {
        const state::control::AdvanceTime step{now - this->lastAdvance};
        this->host->member().propose(protocol::encodeCommand(step), [](const ProposalResult &) {});
    }
    this->lastAdvance = now;
    this->timer.expires_after(advanceInterval);
    this->timer.async_wait([self = this->shared_from_this()](const auto &problem) {
        if (!problem && !self->stopped)
            self->advanceTime();
    });
}

state::Address ControlService::leaderAddress() const
{
    const auto status = this->status();
    return status->leader ? status->leader->address : state::Address{};
}

asio::awaitable<protocol::ControlReply> ControlService::answer(protocol::ControlCall call)
{
    protocol::ControlReply reply;
    if (auto *proposal = std::get_if<protocol::ProposeCall>(&call))
        reply.body = co_await this->propose(std::move(proposal->command));
    else if (auto *feedCall = std::get_if<protocol::FeedCall>(&call))
        reply.body = co_await this->feed(*feedCall);
    else if (auto *query = std::get_if<protocol::EnforcementCall>(&call))
        reply.body = co_await this->enforcement(query->version);
    reply.leader = this->leaderAddress();
    co_return reply;
}

asio::awaitable<protocol::ProposeReply> ControlService::propose(std::string command)
{
    std::function<void(ControlMember::ProposalDone)> start =
            [self = this->shared_from_this(), command](ControlMember::ProposalDone done) {
                self->host->member().propose(command, std::move(done));
            };
    const ProposalResult result =
            co_await transport::awaitCallback<ProposalResult>(std::move(start));
    protocol::ProposeReply reply;
    reply.committed = result.outcome == consensus::ProposalOutcome::Committed;
    if (reply.committed)
        reply.answer = protocol::encodeAnswer(result.answer);
    reply.position = result.position;
    co_return reply;
}

asio::awaitable<protocol::FeedReply> ControlService::feed(protocol::FeedCall call)
{
    std::function<void(std::function<void(protocol::FeedReply)>)> start =
            [self = this->shared_from_this(),
             call](const std::function<void(protocol::FeedReply)> &done) {
                // The callback runs where the applied state stands still.
                self->host->member().read(consensus::ReadKind::Lease, [self, call,
                                                                       done](const auto &read) {
                    protocol::FeedReply reply;
                    reply.confirmed = read.confirmed;
                    if (read.confirmed) {
                        self->tracker.onFeedRequest(call.entry, call.version, monotonicNow());
                        reply.version = self->host->state().view().version;
                        for (const auto &page : self->host->state().changesSince(call.version))
                            reply.pages.push_back(protocol::encodeFeedPage(page));
                    }
                    done(std::move(reply));
                });
            };
    co_return co_await transport::awaitCallback<protocol::FeedReply>(std::move(start));
}

asio::awaitable<protocol::EnforcementReply> ControlService::enforcement(std::uint64_t version)
{
    std::function<void(std::function<void(protocol::EnforcementReply)>)> start =
            [self = this->shared_from_this(),
             version](const std::function<void(protocol::EnforcementReply)> &done) {
                self->host->member().read(consensus::ReadKind::Lease, [self, version,
                                                                       done](const auto &read) {
                    protocol::EnforcementReply reply;
                    reply.confirmed = read.confirmed;
                    if (read.confirmed) {
                        const auto found = self->tracker.enforcementOf(version, monotonicNow());
                        reply.inForce = found.inForce;
                        reply.entries = found.entries;
                        reply.missing = found.missing;
                    }
                    done(std::move(reply));
                });
            };
    co_return co_await transport::awaitCallback<protocol::EnforcementReply>(std::move(start));
}

} // namespace lavenderthread::program
