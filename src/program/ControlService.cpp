// Calls of the entries, answered on the member's strand.
#include "program/ControlService.h"

#include "program/Clock.h"
#include "program/Log.h"
#include "protocol/ControlCommands.h"
#include "transport/Await.h"

#include <boost/asio/post.hpp>

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;
namespace consensus = coordination::consensus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds advanceInterval{1};
// A newcomer should vote within a few of these, and a held feed end close to its time.
constexpr milliseconds tickInterval{100};
// Three heartbeats and a half: members are milliseconds apart, and until there is a leader no entry
// that has just started knows its configuration.
constexpr milliseconds electionTimeout{350};
// Without a leader an entry's call is held until one is known, instead of being asked again and
// again by all of them at once; not for long, as this member may be the one that is cut off.
constexpr milliseconds waitForLeader{300};
constexpr milliseconds reopenPause{500}; // between tries to open a folder on a failing disk

// Small enough for a control VM: the log keeps in memory what is not in a snapshot, and a restart
// reads it all again. At a sixteenth of a core two megabytes took half a second to read.
constexpr std::size_t leastLogBytesInMemory = 32U << 10U;
constexpr std::size_t logBytesInMemory = 512U << 10U;
constexpr std::size_t logSegmentBytes = 512U << 10U;
constexpr std::size_t logEntriesInMemory = 2'048;
constexpr std::size_t entriesKeptBehindSnapshot = 16;

std::string founderIdentity(const state::Address &host)
{
    return host.ip;
}

bool isSeedHost(const Settings &settings)
{
    return std::ranges::any_of(settings.seedHosts, [&](const state::Address &host) {
        return host.ip == settings.controlListen->ip;
    });
}

std::vector<consensus::Member> namedFounders(const Settings &settings)
{
    std::vector<consensus::Member> members;
    for (const ControlMemberSetting &member : settings.controlMembers)
        members.push_back({member.id, member.address, consensus::MemberRole::Voter});
    if (!members.empty() || !isSeedHost(settings))
        return members;
    for (const state::Address &host : settings.seedHosts) {
        const state::Address address{host.ip, settings.controlListen->port};
        members.push_back(
                {state::VmId(founderIdentity(host)), address, consensus::MemberRole::Voter});
    }
    return members;
}

// The founders are read only where control.bootstrap is set and the folder is new: a member whose
// disk was lost would otherwise vote again in terms in which its former self has voted, and two
// leaders could be elected in one term. It comes back under another identity instead.
state::Result<std::optional<consensus::MemberSet>> foundersOf(const Settings &settings)
{
    const std::vector<consensus::Member> members = namedFounders(settings);
    if (!settings.controlBootstrap || members.empty())
        return std::optional<consensus::MemberSet>();
    BOOST_OUTCOME_TRY(consensus::MemberSet set, consensus::MemberSet::create(members));
    return std::optional<consensus::MemberSet>(std::move(set));
}

std::string newIdentity(const Settings &settings)
{
    const bool founds = settings.controlBootstrap;
    if (founds && settings.controlMembers.empty() && isSeedHost(settings))
        return founderIdentity(*settings.controlListen);
    if (founds)
        return settings.vm.value();
    return settings.vm.value() + "-" + std::to_string(wallNow().time_since_epoch().count());
}

} // namespace

ControlService::ControlService(const Settings &chosen, asio::io_context &io, Hooks serviceHooks)
    : settings(chosen)
    , context(io)
    , hooks(std::move(serviceHooks))
    , timer(asio::make_strand(io))
    , tracker(coordination::orders::FeedSettings().lease)
    , plan({.wantedVoters = chosen.controlVoters})
{}

state::Result<std::shared_ptr<ControlService>>
ControlService::create(const Settings &settings, asio::io_context &context, Hooks hooks)
{
    std::shared_ptr<ControlService> service(
            new ControlService(settings, context, std::move(hooks)));
    BOOST_OUTCOME_TRYV(service->open());
    return service;
}

state::Result<void> ControlService::open()
{
    ControlMemberHostSettings hostSettings;
    hostSettings.folder = this->settings.dataFolder;
    hostSettings.newIdentity = newIdentity(this->settings);
    BOOST_OUTCOME_TRY(hostSettings.founders, foundersOf(this->settings));
    hostSettings.listen = *this->settings.controlListen;
    hostSettings.keys = this->settings.keys;
    hostSettings.consensus.electionTimeout = electionTimeout;
    hostSettings.consensus.compactionLeastBytes = leastLogBytesInMemory;
    hostSettings.consensus.compactionBytes = logBytesInMemory;
    hostSettings.segmentBytes = logSegmentBytes;
    hostSettings.consensus.compactionEntries = logEntriesInMemory;
    hostSettings.consensus.trailingEntries = entriesKeptBehindSnapshot;
    hostSettings.seed =
            XXH3_64bits(hostSettings.newIdentity.data(), hostSettings.newIdentity.size())
            ^ static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    ControlMemberHostHooks memberHooks;
    memberHooks.roleChanged = [this](const consensus::RoleChange &change) {
        this->roleChanged(change);
    };
    memberHooks.applied = [this](const auto & /*position*/, const auto & /*command*/,
                                 const auto & /*answer*/) { this->stateChanged(); };
    memberHooks.restored = [this] { this->stateChanged(); };
    memberHooks.problem = [](const state::Error &error) {
        logEvent(LogLevel::Debug, "control.problem",
                 {{"step", error.step}, {"peer", error.peer}, {"cause", error.cause}});
    };
    BOOST_OUTCOME_TRY(auto opened,
                      ControlMemberHost::open(this->context, hostSettings, memberHooks));
    this->id = opened->id();
    logEvent(LogLevel::Info, "control.opened",
             {{"identity", this->id.value()},
              {"address", opened->address().toString()},
              {"founds", hostSettings.founders ? "yes" : "no"}});
    const std::lock_guard lock(this->hostMutex);
    this->currentHost = std::move(opened);
    return state::outcome::success();
}

ControlService::HostPointer ControlService::host() const
{
    const std::lock_guard lock(this->hostMutex);
    return this->currentHost;
}

void ControlService::start()
{
    this->host()->start();
    asio::post(this->timer.get_executor(), [self = this->shared_from_this()] { self->tick(); });
}

void ControlService::stop()
{
    this->stopped = true;
    asio::post(this->timer.get_executor(),
               [self = this->shared_from_this()] { self->timer.cancel(); });
    if (const HostPointer member = this->host())
        member->stop();
}

void ControlService::roleChanged(const consensus::RoleChange &change)
{
    this->leads = change.role == consensus::Role::Leader;
    if (this->leads)
        this->tracker.leaderStarted({}, monotonicNow());
    logEvent(LogLevel::Info, "control.role",
             {{"identity", this->id.value()},
              {"role", this->leads ? "leader" : "not-leader"},
              {"term", change.fencing.term}});
    if (change.role != consensus::Role::Stopped)
        return;
    logEvent(LogLevel::Error, "control.stopped",
             {{"identity", this->id.value()},
              {"cause", change.error ? change.error->cause : std::string("no reason given")}});
    asio::post(this->timer.get_executor(), [self = this->shared_from_this()] { self->reopen(); });
}

// A write or sync that failed leaves unknown what the disk holds; only opening the folder again
// tells. A full disk would otherwise silence this member until somebody restarts it.
void ControlService::reopen()
{
    HostPointer failed;
    {
        const std::lock_guard lock(this->hostMutex);
        failed = std::exchange(this->currentHost, nullptr);
    }
    if (failed)
        failed->stop();
    this->reopenAt = monotonicNow() + reopenPause;
}

void ControlService::tick()
{
    const state::Instant now = monotonicNow();
    const HostPointer member = this->host();
    const bool hadLeader =
            std::exchange(this->knewLeader, member && this->leaderAddress(member).port != 0);
    this->wakeFeeds(this->knewLeader && !hadLeader ? std::nullopt : std::optional(now));
    if (member) {
        this->advanceTime(member, now);
        this->repairMembers(member, now);
    } else if (now >= this->reopenAt) {
        this->reopenAt = now + reopenPause;
        const state::Result<void> opened = this->open();
        if (opened)
            this->host()->start();
        else
            logError("control.open-failed", opened.error());
    }
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([self = this->shared_from_this()](const auto &problem) {
        if (!problem && !self->stopped)
            self->tick();
    });
}

// Control time is counted by the leader, so that no VM's wall clock can end a claim early. Without
// claims nobody asks for it, and an idle cluster writes nothing.
void ControlService::advanceTime(const HostPointer &member, state::Instant now)
{
    if (this->lastAdvance != state::Instant{} && now - this->lastAdvance < advanceInterval)
        return;
    if (this->leads && this->hasClaims && this->lastAdvance != state::Instant{}) {
        const state::control::AdvanceTime step{now - this->lastAdvance};
        member->member().propose(protocol::encodeCommand(step), [](const ProposalResult &) {});
        this->settleLostClaims(member);
    }
    this->lastAdvance = now;
}

// A claim that a killed entry held would stay open until its caller's deadline: a caller that comes
// back with the same key is told "in progress" all that time, and a call that never went out is
// never made. Once its entry is known to be gone, the claim is free again or its outcome unknown.
// An entry that was given up wrongly finds its dispatch mark refused, so nothing runs twice.
void ControlService::settleLostClaims(const HostPointer &member)
{
    if (!this->hooks.hasEnded)
        return;
    member->member().read(consensus::ReadKind::Lease, [self = this->shared_from_this(),
                                                       member](const auto &read) {
        if (!read.confirmed)
            return;
        for (const state::control::ClaimOwner &owner : member->state().claims().openOwners()) {
            if (!self->hooks.hasEnded(owner.entry, owner.incarnation))
                continue;
            logEvent(LogLevel::Warning, "control.claims-settled",
                     {{"entry", owner.entry.value()}, {"incarnation", owner.incarnation}});
            const state::control::EntryLost lost{owner.entry, owner.incarnation};
            member->member().propose(protocol::encodeCommand(lost), [](const ProposalResult &) {});
        }
    });
}

// One change at a time; the next tick sees what came of it.
void ControlService::repairMembers(const HostPointer &member, state::Instant now)
{
    if (!this->leads || this->changingMembers || !this->hooks.candidates)
        return;
    const auto status = member->member().status();
    const consensus::MemberSet target =
            this->plan.target(status->members, this->hooks.candidates(), now);
    const auto change = consensus::nextMemberChange(status->members, target, status->caughtUp);
    if (!change)
        return;
    logEvent(LogLevel::Info, "control.member-change",
             {{"kind", change->kind == consensus::MemberChangeKind::AddLearner ? "add"
                       : change->kind == consensus::MemberChangeKind::Promote  ? "promote"
                                                                               : "remove"},
              {"member", change->member.id.value()},
              {"members", std::uint64_t(status->members.all().size())},
              {"term", status->term}});
    this->changingMembers = true;
    member->member().proposeChange(*change, [self = this->shared_from_this()](const auto &) {
        asio::post(self->timer.get_executor(), [self] { self->changingMembers = false; });
    });
}

// Most commands are claims and change no view; waking every held feed for each would make every
// entry ask again for nothing.
void ControlService::stateChanged()
{
    const HostPointer member = this->host();
    if (!member)
        return; // still opening: nobody waits yet
    const std::uint64_t version = member->state().view().version;
    if (this->announcedView == version)
        return;
    this->feedEncoder.note(member->state().view());
    {
        const std::lock_guard lock(this->feedMutex);
        this->announcedView = version;
    }
    this->wakeFeeds(std::nullopt);
}

// All waiting feeds, or only those whose time is over.
void ControlService::wakeFeeds(std::optional<state::Instant> dueBefore)
{
    std::vector<WaitingFeed> due;
    {
        const std::lock_guard lock(this->feedMutex);
        const auto kept = std::partition(
                this->waitingFeeds.begin(), this->waitingFeeds.end(),
                [&](const WaitingFeed &each) { return dueBefore && each.until > *dueBefore; });
        due.assign(std::make_move_iterator(kept),
                   std::make_move_iterator(this->waitingFeeds.end()));
        this->waitingFeeds.erase(kept, this->waitingFeeds.end());
    }
    for (const WaitingFeed &each : due)
        each.wake(true);
}

state::Address ControlService::leaderAddress(const HostPointer &member) const
{
    const auto status = member->member().status();
    return status->leader ? status->leader->address : state::Address{};
}

asio::awaitable<protocol::ControlReply> ControlService::answer(protocol::ControlCall call)
{
    protocol::ControlReply reply;
    const HostPointer member = this->host();
    if (!member)
        co_return reply; // confirms nothing
    if (auto *proposal = std::get_if<protocol::ProposeCall>(&call))
        reply.body = co_await this->propose(member, std::move(proposal->command));
    else if (auto *feedCall = std::get_if<protocol::FeedCall>(&call))
        reply.body = co_await this->feed(member, *feedCall);
    else if (auto *query = std::get_if<protocol::EnforcementCall>(&call))
        reply.body = co_await this->enforcement(member, query->version);
    else
        reply.body = co_await this->configuration(member);
    reply.leader = this->leaderAddress(member);
    co_return reply;
}

asio::awaitable<protocol::ProposeReply> ControlService::propose(HostPointer member,
                                                                std::string command)
{
    std::function<void(ControlMember::ProposalDone)> start =
            [member, command](ControlMember::ProposalDone done) {
                member->member().propose(command, std::move(done));
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

asio::awaitable<protocol::FeedReply> ControlService::feed(HostPointer member,
                                                          protocol::FeedCall call)
{
    const std::uint64_t seen = this->announcedView;
    protocol::FeedReply reply = co_await this->readFeed(member, call);
    if (!reply.content.pages.empty() || call.waitMs == 0)
        co_return reply;
    // Without pages it is held only while nobody leads; else the caller goes on to the leader.
    if (!call.pages && (reply.confirmed || this->leaderAddress(member).port != 0))
        co_return reply;
    co_await this->waitForChange(seen, call.pages ? milliseconds(call.waitMs) : waitForLeader);
    co_return co_await this->readFeed(member, call);
}

// `seen`: announcedView before the view was read, so that no change in between is missed.
asio::awaitable<void> ControlService::waitForChange(std::uint64_t seen, state::Duration time)
{
    std::function<void(FeedWaiter)> start = [this, seen, time](FeedWaiter wake) {
        std::unique_lock lock(this->feedMutex);
        if (this->announcedView == seen) {
            this->waitingFeeds.push_back({monotonicNow() + time, std::move(wake)});
            return;
        }
        lock.unlock();
        wake(true); // the change came between the read and this
    };
    co_await transport::awaitCallback<bool>(std::move(start));
}

asio::awaitable<protocol::FeedReply> ControlService::readFeed(HostPointer member,
                                                              protocol::FeedCall call)
{
    using Done = std::function<void(protocol::FeedReply)>;
    std::function<void(Done)> start = [self = this->shared_from_this(), member,
                                       call](const Done &done) {
        // The callback runs where the applied state stands still.
        member->member().read(consensus::ReadKind::Lease, [self, member, call,
                                                           done](const auto &read) {
            protocol::FeedReply reply;
            reply.confirmed = read.confirmed;
            reply.version = member->state().view().version;
            if (read.confirmed) {
                self->tracker.onFeedRequest(call.entry, call.version, monotonicNow());
                self->hasClaims = member->state().claims().size() > 0;
            }
            if (call.pages && reply.version > call.version)
                reply.content = self->feedEncoder.contentFor(member->state(),
                                                             {call.version, call.configuration});
            done(std::move(reply));
        });
    };
    co_return co_await transport::awaitCallback<protocol::FeedReply>(std::move(start));
}

asio::awaitable<protocol::EnforcementReply> ControlService::enforcement(HostPointer member,
                                                                        std::uint64_t version)
{
    using Done = std::function<void(protocol::EnforcementReply)>;
    std::function<void(Done)> start = [self = this->shared_from_this(), member,
                                       version](const Done &done) {
        member->member().read(consensus::ReadKind::Lease, [self, version, done](const auto &read) {
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

// By a round and not by the lease: a VM that was suspended wakes with its lease still valid on its
// clock, while another leader has long accepted a newer configuration.
asio::awaitable<protocol::ConfigurationReply> ControlService::configuration(HostPointer member)
{
    using Done = std::function<void(protocol::ConfigurationReply)>;
    std::function<void(Done)> start = [member](const Done &done) {
        member->member().read(consensus::ReadKind::Round, [member, done](const auto &read) {
            protocol::ConfigurationReply reply;
            reply.confirmed = read.confirmed;
            if (read.confirmed)
                reply.document = member->state().view().configuration;
            done(std::move(reply));
        });
    };
    co_return co_await transport::awaitCallback<protocol::ConfigurationReply>(std::move(start));
}

} // namespace lavenderthread::program
