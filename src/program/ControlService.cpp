// Wiring of consensus, disk, links and replicated state.
#include "program/ControlService.h"

#include "program/Clock.h"
#include "program/Log.h"
#include "protocol/ControlCommands.h"
#include "transport/Await.h"

#include <boost/asio/post.hpp>

#include <xxhash.h>

#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace consensus = coordination::consensus;
using std::chrono::seconds;

namespace {

constexpr seconds advanceInterval{1};

// The first member set of a new cluster. Only a folder that was made with control.bootstrap starts
// from it: a member whose disk was lost would otherwise vote again in terms in which its former
// self has voted, and two leaders could be elected in one term.
state::Result<state::log::LogSnapshot> firstSnapshot(const Settings &settings)
{
    std::vector<consensus::Member> members;
    for (const ControlMemberSetting &member : settings.controlMembers)
        members.push_back({member.id, member.address, consensus::MemberRole::Voter});
    BOOST_OUTCOME_TRY(const consensus::MemberSet set,
                      consensus::MemberSet::create(std::move(members)));
    return state::log::LogSnapshot{{}, set.encode(), {}};
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
    BOOST_OUTCOME_TRY(service->open(settings, context));
    return service;
}

state::Result<void> ControlService::open(const Settings &settings, asio::io_context &context)
{
    transport::storage::DurableLogSettings logSettings;
    logSettings.folder = settings.dataFolder;
    logSettings.newIdentity = newIdentity(settings);
    BOOST_OUTCOME_TRY(auto opened, transport::storage::DurableLog::open(std::move(logSettings)));
    const auto &recovered = opened.recovered;

    consensus::Stored stored;
    stored.hardState = recovered.hardState;
    stored.entries = recovered.entries;
    if (recovered.snapshot) {
        stored.snapshot = *recovered.snapshot;
        this->restore(stored.snapshot);
    } else if (recovered.identity == settings.vm.value()) {
        BOOST_OUTCOME_TRY(stored.snapshot, firstSnapshot(settings));
    }

    LogWriter::Hooks writerHooks;
    writerHooks.persisted = [this](std::uint64_t sequence) { this->member->persisted(sequence); };
    writerHooks.failed = [this](const state::Error &error) {
        logError("control.storage-failed", error);
        this->member->persistFailed(error);
    };
    writerHooks.snapshotSaved = [this](consensus::SnapshotPointer snapshot) {
        this->member->snapshotSaved(snapshot);
    };
    this->writer = std::make_unique<LogWriter>(std::move(opened.log), std::move(writerHooks));

    transport::PeerLinkSettings linkSettings;
    linkSettings.listen = *settings.controlListen;
    transport::PeerLinkHooks linkHooks;
    linkHooks.received = [this](const std::string &bytes) {
        if (!this->stopped)
            this->member->receive(bytes);
    };
    linkHooks.problem = [](const state::Error &error) {
        logEvent(LogLevel::Debug, "control.link",
                 {{"step", error.step}, {"peer", error.peer}, {"cause", error.cause}});
    };
    BOOST_OUTCOME_TRY(this->link,
                      transport::PeerLink::listen(context, linkSettings, settings.keys, linkHooks));

    ControlMemberSettings memberSettings;
    memberSettings.id = state::VmId(recovered.identity);
    memberSettings.address = *settings.controlListen;
    memberSettings.seed = XXH3_64bits(recovered.identity.data(), recovered.identity.size())
                          ^ static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    BOOST_OUTCOME_TRY(this->member,
                      ControlMember::create(context, memberSettings, stored, this->memberHooks()));
    return state::outcome::success();
}

ControlMemberHooks ControlService::memberHooks()
{
    ControlMemberHooks hooks;
    hooks.persist = [this](PersistBatch batch) { this->writer->persist(std::move(batch)); };
    hooks.saveSnapshot = [this](consensus::SnapshotPointer snapshot) {
        this->writer->saveSnapshot(std::move(snapshot));
    };
    hooks.apply = [this](const state::log::LogEntry &entry) { return this->apply(entry); };
    hooks.restore = [this](const state::log::LogSnapshot &snapshot) { this->restore(snapshot); };
    hooks.captureState = [this](const std::function<void(std::string)> &done) {
        done(protocol::encodeControlState(this->state));
    };
    hooks.send = [this](const state::Address &peer, std::string bytes) {
        this->link->send(peer, std::move(bytes));
    };
    hooks.roleChanged = [this](const consensus::RoleChange &change) { this->roleChanged(change); };
    hooks.membersChanged = [this](const consensus::MemberSet &members) {
        std::set<state::Address> peers;
        for (const consensus::Member &each : members.all())
            peers.insert(each.address);
        this->link->keepOnly(peers);
    };
    hooks.badMessage = [](const state::Error &error) { logError("control.bad-message", error); };
    return hooks;
}

void ControlService::start()
{
    this->member->start();
    this->advanceTime();
}

void ControlService::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->member->stop();
    this->link->stop();
}

state::control::Answer ControlService::apply(const state::log::LogEntry &entry)
{
    const auto command = protocol::decodeCommand(entry.payload);
    if (!command)
        return state::control::Refused{command.error(), std::nullopt, false};
    return this->state.apply(entry.position, command.value());
}

void ControlService::restore(const state::log::LogSnapshot &snapshot)
{
    if (snapshot.bytes.empty()) // the first member set, with nothing applied
        return;
    auto decoded = protocol::decodeControlState(snapshot.bytes);
    if (decoded)
        this->state = std::move(decoded.value());
    else
        logError("control.restore-failed", decoded.error());
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
        this->member->propose(protocol::encodeCommand(step), [](const ProposalResult &) {});
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
    const auto status = this->member->status();
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
            [member = this->member, command](ControlMember::ProposalDone done) {
                member->propose(command, std::move(done));
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
                self->member->read(consensus::ReadKind::Lease, [self, call,
                                                                done](const auto &read) {
                    protocol::FeedReply reply;
                    reply.confirmed = read.confirmed;
                    if (read.confirmed) {
                        self->tracker.onFeedRequest(call.entry, call.version, monotonicNow());
                        reply.version = self->state.view().version;
                        for (const auto &page : self->state.changesSince(call.version))
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
                self->member->read(consensus::ReadKind::Lease, [self, version,
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
