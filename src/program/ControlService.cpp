// Answers the calls of entries on the member's strand.
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
// A new member should become a voter within a few ticks, and a held feed call should end close to
// its time limit.
constexpr milliseconds tickInterval{100};
// Three and a half heartbeats. Round trips between members take milliseconds, and an entry that has
// just started gets no configuration until a leader is elected.
constexpr milliseconds electionTimeout{350};
// While there is no leader, an entry's call is held until one is known, so that the entries do not
// all retry again and again. The wait is short because this member may be the partitioned one, and
// below AnswerPatience::shortest.
constexpr milliseconds waitForLeader{200};
constexpr milliseconds reopenPause{500}; // between attempts to open a folder on a failing disk

// Sized for a control VM: entries that are not in a snapshot stay in memory, and a restart reads
// all of them. Reading two megabytes takes half a second on a sixteenth of a core.
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

// The founders are used only if control.bootstrap is set and the folder is new. Otherwise a member
// that lost its disk could vote again in terms in which it has already voted, and two leaders could
// be elected in one term. Such a member returns under a new identity instead.
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
    , plan({.leastVoters = chosen.leastControlVoters})
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
    hostSettings.consensus.minimumCompactionBytes = leastLogBytesInMemory;
    hostSettings.consensus.maximumCompactionBytes = logBytesInMemory;
    hostSettings.segmentBytes = logSegmentBytes;
    hostSettings.consensus.compactionEntries = logEntriesInMemory;
    hostSettings.consensus.trailingEntries = entriesKeptBehindSnapshot;
    hostSettings.seed =
            XXH3_64bits(hostSettings.newIdentity.data(), hostSettings.newIdentity.size())
            ^ static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    ControlMemberHostHooks memberHooks;
    memberHooks.roleChanged = [this](const consensus::RoleChange &change) {
        this->onRoleChanged(change);
    };
    memberHooks.membersChanged = [this](const consensus::MemberSet &members) {
        this->onMembersChanged(members);
    };
    memberHooks.applied = [this](const auto & /*position*/, const auto & /*command*/,
                                 const auto & /*answer*/) { this->onStateChanged(); };
    memberHooks.restored = [this] { this->onStateChanged(); };
    memberHooks.problem = [](const state::Error &error) {
        logEvent(LogLevel::Debug, "control.problem",
                 {{"step", error.step}, {"peer", error.peer}, {"cause", error.cause}});
    };
    memberHooks.pool = this->hooks.pool;
    BOOST_OUTCOME_TRY(auto opened,
                      ControlMemberHost::open(this->context, hostSettings, memberHooks));
    this->id = opened->id();
    logEvent(LogLevel::Info, "control.opened",
             {{"identity", this->id.value()},
              {"address", opened->address().toString()},
              {"founds", hostSettings.founders ? "yes" : "no"},
              {"segments_passed_over", std::uint64_t(opened->segmentsPassedOver())}});
    const std::lock_guard lock(this->hostMutex);
    this->currentHost = std::move(opened);
    return state::outcome::success();
}

std::optional<ControlMemberStatus> ControlService::status() const
{
    const HostPointer member = this->host();
    if (!member)
        return std::nullopt;
    return *member->member().status();
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

void ControlService::onRoleChanged(const consensus::RoleChange &change)
{
    this->isLeader = change.role == consensus::Role::Leader;
    if (this->isLeader)
        this->tracker.leaderStarted({}, monotonicNow());
    logEvent(LogLevel::Info, "control.role",
             {{"identity", this->id.value()},
              {"role", this->isLeader ? "leader" : "not-leader"},
              {"term", change.fencing.term}});
    if (change.role != consensus::Role::Stopped)
        return;
    logEvent(LogLevel::Error, "control.stopped",
             {{"identity", this->id.value()},
              {"cause", change.error ? change.error->cause : std::string("no reason given")}});
    asio::post(this->timer.get_executor(), [self = this->shared_from_this()] { self->reopen(); });
}

void ControlService::onMembersChanged(const consensus::MemberSet &members) const
{
    logEvent(LogLevel::Info, "control.members",
             {{"identity", this->id.value()},
              {"votes", members.isVoter(this->id) ? "yes" : "no"},
              {"members", std::uint64_t(members.all().size())},
              {"voters", std::uint64_t(members.voterCount())},
              {"quorum", std::uint64_t(members.quorum())}});
}

// After a failed write or sync the contents of the disk are unknown until the folder is opened
// again. Without reopening, a full disk would disable this member until somebody restarts it.
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
            std::exchange(this->leaderWasKnown, member && this->leaderAddress(member).port != 0);
    this->wakeFeeds(this->leaderWasKnown && !hadLeader ? std::nullopt : std::optional(now));
    if (member) {
        this->advanceTime(member, now);
        this->reconcileMembers(member, now);
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

// The leader advances control time, so that no VM's wall clock can expire a claim early. It does
// not advance while there are no claims, so that an idle cluster writes nothing.
void ControlService::advanceTime(const HostPointer &member, state::Instant now)
{
    if (this->lastAdvance != state::Instant{} && now - this->lastAdvance < advanceInterval)
        return;
    if (this->isLeader && this->hasClaims && this->lastAdvance != state::Instant{}) {
        const state::control::AdvanceTime step{now - this->lastAdvance};
        member->member().propose(protocol::encodeCommand(step), [](const ProposalResult &) {});
        this->settleClaimsOfEndedEntries(member);
    }
    this->lastAdvance = now;
}

// Settles the claims of entries that have ended. Otherwise the claim of a killed entry stays open
// until its caller's deadline: a retry with the same key is answered "in progress" until then, and
// a call that was never dispatched is never made. Settling makes an undispatched claim available
// again and gives a dispatched one an unknown outcome. If the entry is in fact alive, its
// DispatchClaim is refused, so that nothing runs twice.
void ControlService::settleClaimsOfEndedEntries(const HostPointer &member)
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

// Proposes one member change at a time; the next tick uses the resulting member set.
void ControlService::reconcileMembers(const HostPointer &member, state::Instant now)
{
    if (!this->isLeader || this->memberChangePending || !this->hooks.candidates)
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
    this->memberChangePending = true;
    member->member().proposeChange(*change, [self = this->shared_from_this()](const auto &) {
        asio::post(self->timer.get_executor(), [self] { self->memberChangePending = false; });
    });
}

// Most commands are claims and do not change the view; waking every held feed for each of them
// would make every entry poll again without need.
void ControlService::onStateChanged()
{
    const HostPointer member = this->host();
    if (!member)
        return; // still opening: no feed call waits yet
    const std::uint64_t version = member->state().view().version;
    if (this->announcedVersion == version)
        return;
    this->feedEncoder.recordView(member->state().view());
    {
        const std::lock_guard lock(this->feedMutex);
        this->announcedVersion = version;
    }
    this->wakeFeeds(std::nullopt);
}

// Wakes the feeds whose wait ended by `dueBefore`, or all of them if it is absent.
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
    const std::uint64_t seen = this->announcedVersion;
    protocol::FeedReply reply = co_await this->readFeed(member, call);
    if (!reply.content.pages.empty())
        co_return reply;
    const bool longPoll = call.pages && call.waitMs > 0;
    // Any other call is held only while no leader is known; otherwise the caller turns to the
    // leader.
    if (!longPoll && (reply.confirmed || this->leaderAddress(member).port != 0))
        co_return reply;
    co_await this->waitForChange(seen, longPoll ? milliseconds(call.waitMs) : waitForLeader);
    co_return co_await this->readFeed(member, call);
}

// `seen`: announcedVersion before the view was read, so that no change in between is missed.
asio::awaitable<void> ControlService::waitForChange(std::uint64_t seen, state::Duration time)
{
    std::function<void(FeedWaiter)> start = [this, seen, time](FeedWaiter wake) {
        std::unique_lock lock(this->feedMutex);
        if (this->announcedVersion == seen) {
            this->waitingFeeds.push_back({monotonicNow() + time, std::move(wake)});
            return;
        }
        lock.unlock();
        wake(true); // the version changed after the read
    };
    co_await transport::awaitCallback<bool>(std::move(start));
}

asio::awaitable<protocol::FeedReply> ControlService::readFeed(HostPointer member,
                                                              protocol::FeedCall call)
{
    using Done = std::function<void(protocol::FeedReply)>;
    std::function<void(Done)> start = [self = this->shared_from_this(), member,
                                       call](const Done &done) {
        // The callback runs on the member's strand, where the applied state does not change.
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

// Uses a quorum round instead of the lease: when a suspended VM resumes, its lease may still be
// valid by its own clock although another leader has accepted a newer configuration.
asio::awaitable<protocol::ConfigurationReply> ControlService::configuration(HostPointer member)
{
    using Done = std::function<void(protocol::ConfigurationReply)>;
    std::function<void(Done)> start = [member](const Done &done) {
        member->member().read(consensus::ReadKind::QuorumRound, [member, done](const auto &read) {
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
