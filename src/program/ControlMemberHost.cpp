// Opens the data folder, bootstraps a new cluster if configured, and connects the member's parts.
#include "program/ControlMemberHost.h"

#include "protocol/ControlCommands.h"
#include "transport/storage/DurableLog.h"

#include <boost/asio/post.hpp>

#include <array>
#include <utility>

namespace lavenderthread::program {

using coordination::consensus::MemberSet;
using coordination::consensus::SnapshotPointer;
using state::ErrorCode;
using state::log::LogEntry;
using state::log::LogEntryKind;
using transport::storage::DurableLog;

namespace {

constexpr std::uint64_t bootstrapTerm = 1;

bool isNew(const coordination::consensus::StoredState &stored)
{
    return stored.hardState.currentTerm == 0 && stored.entries.empty()
           && stored.snapshot.last.index == 0;
}

// Writes the initial configuration entry. It is the same on every founder, so it needs no election.
state::Result<void> bootstrapLog(DurableLog &log, const MemberSet &founders,
                                 coordination::consensus::StoredState &stored)
{
    const std::array<LogEntry, 1> first{
            LogEntry{{bootstrapTerm, 1}, LogEntryKind::Configuration, founders.encode()}};
    stored.hardState = {bootstrapTerm, {}};
    stored.entries.assign(first.begin(), first.end());
    BOOST_OUTCOME_TRYV(log.saveHardState(stored.hardState));
    BOOST_OUTCOME_TRYV(log.append(first));
    return log.sync();
}

} // namespace

ControlMemberHost::ControlMemberHost(boost::asio::io_context &context,
                                     const ControlMemberHostHooks &hostHooks)
    : io(context)
    , hooks(hostHooks)
{}

state::Result<std::unique_ptr<ControlMemberHost>>
ControlMemberHost::open(boost::asio::io_context &io, const ControlMemberHostSettings &settings,
                        const ControlMemberHostHooks &hooks)
{
    std::unique_ptr<ControlMemberHost> host(new ControlMemberHost(io, hooks));
    BOOST_OUTCOME_TRYV(host->openFolder(settings));
    BOOST_OUTCOME_TRYV(host->openLink(settings));
    BOOST_OUTCOME_TRYV(host->createMember(settings));
    return host;
}

state::Result<void> ControlMemberHost::openFolder(const ControlMemberHostSettings &settings)
{
    BOOST_OUTCOME_TRY(DurableLog::Opened opened,
                      DurableLog::open({.folder = settings.folder,
                                        .newIdentity = settings.newIdentity,
                                        .segmentBytes = settings.segmentBytes}));
    this->log = std::move(opened.log);
    this->identity = state::VmId(opened.recovered.identity);
    this->passedOver = opened.recovered.segmentsPassedOver;
    this->stored.hardState = opened.recovered.hardState;
    this->stored.entries = std::move(opened.recovered.entries);
    if (opened.recovered.snapshot)
        this->stored.snapshot = std::move(*opened.recovered.snapshot);
    if (isNew(this->stored) && settings.founders) {
        if (!settings.founders->isVoter(this->identity))
            return state::makeError(ErrorCode::InvalidArgument, "control.found",
                                    "the folder's identity is none of the founders: "
                                            + this->identity.value(),
                                    settings.folder);
        BOOST_OUTCOME_TRYV(bootstrapLog(*this->log, *settings.founders, this->stored));
    }
    if (this->stored.snapshot.bytes.empty())
        return state::outcome::success();
    BOOST_OUTCOME_TRY(state::control::ControlState restored,
                      protocol::decodeControlState(this->stored.snapshot.bytes));
    this->controlState = std::move(restored);
    return state::outcome::success();
}

state::Result<void> ControlMemberHost::openLink(const ControlMemberHostSettings &settings)
{
    transport::PeerLinkSettings linkSettings;
    linkSettings.listen = settings.listen;
    BOOST_OUTCOME_TRY(auto opened,
                      transport::PeerLink::listen(
                              this->io, linkSettings, settings.keys,
                              {[this](const std::string &bytes) { this->receive(bytes); },
                               [this](const state::Error &error) { this->reportProblem(error); },
                               this->hooks.pool}));
    this->peerLink = std::move(opened);
    return state::outcome::success();
}

state::Result<void> ControlMemberHost::createMember(const ControlMemberHostSettings &settings)
{
    const ControlMemberSettings memberSettings{this->identity, this->peerLink->address(),
                                               settings.consensus, settings.seed};
    state::Result<std::shared_ptr<ControlMember>> built = ControlMember::create(
            this->io, memberSettings, std::exchange(this->stored, {}), this->memberHooks());
    if (built.has_error()) {
        this->peerLink->stop();
        return built.error();
    }
    const std::shared_ptr<ControlMember> created = std::move(built).value();
    this->writer = std::make_unique<transport::storage::LogWriter>(
            std::move(this->log),
            transport::storage::LogWriterHooks{
                    [created](std::uint64_t sequence) { created->persisted(sequence); },
                    [created](const state::Error &error) { created->persistFailed(error); },
                    [created](const SnapshotPointer &saved) { created->snapshotSaved(saved); }});
    const std::lock_guard lock(this->memberMutex);
    this->controlMember = created;
    return state::outcome::success();
}

ControlMemberHooks ControlMemberHost::memberHooks()
{
    ControlMemberHooks made;
    made.persist = [this](PersistBatch batch) {
        this->writer->submit({batch.sequence, std::move(batch.hardState),
                              std::move(batch.installed), std::move(batch.entries)});
    };
    made.saveSnapshot = [this](SnapshotPointer snapshot) {
        const std::uint64_t last = snapshot->last.index;
        this->writer->saveSnapshot(std::move(snapshot), last);
    };
    made.apply = [this](const LogEntry &entry) { return this->apply(entry); };
    made.restore = [this](const state::log::LogSnapshot &snapshot) { this->restore(snapshot); };
    made.captureState = [this](const std::function<void(std::string)> &done) {
        this->captureState(done);
    };
    made.send = [this](const state::Address &peer, std::string bytes) {
        this->peerLink->send(peer, std::move(bytes));
    };
    made.roleChanged = [this](const coordination::consensus::RoleChange &change) {
        if (change.error)
            this->reportProblem(*change.error);
        if (this->hooks.roleChanged)
            this->hooks.roleChanged(change);
    };
    made.membersChanged = [this](const MemberSet &members) {
        if (this->hooks.membersChanged)
            this->hooks.membersChanged(members);
    };
    made.badMessage = [this](const state::Error &error) { this->reportProblem(error); };
    return made;
}

void ControlMemberHost::stop()
{
    this->controlMember->stop();
    this->peerLink->stop();
}

// Every member refuses a committed command that cannot be decoded: all members run the same version
// because messages between versions are refused.
state::control::Answer ControlMemberHost::apply(const LogEntry &entry)
{
    const state::Result<state::control::Command> command = protocol::decodeCommand(entry.payload);
    if (command.has_error()) {
        this->reportProblem(command.error());
        return state::control::Refused{command.error(), std::nullopt, false};
    }
    state::control::Answer answer = this->controlState.apply(entry.position, command.value());
    if (this->hooks.applied)
        this->hooks.applied(entry.position, command.value(), answer);
    return answer;
}

void ControlMemberHost::restore(const state::log::LogSnapshot &snapshot)
{
    state::Result<state::control::ControlState> next = protocol::decodeControlState(snapshot.bytes);
    if (next.has_error()) {
        // Continuing would serve a state that lacks entries which the log counts as applied.
        this->controlMember->persistFailed(next.error().withStep("control.restore"));
        return;
    }
    this->controlState = std::move(next).value();
    if (this->hooks.restored)
        this->hooks.restored();
}

// Takes the image now and encodes it off the strand: encoding takes longer and must not delay
// heartbeats.
void ControlMemberHost::captureState(const std::function<void(std::string bytes)> &done)
{
    auto image = std::make_shared<state::control::ControlImage>(this->controlState.image());
    boost::asio::post(this->io,
                      [image, done] { done(protocol::encodeControlImage(std::move(*image))); });
}

void ControlMemberHost::receive(const std::string &bytes)
{
    std::shared_ptr<ControlMember> to;
    {
        const std::lock_guard lock(this->memberMutex);
        to = this->controlMember;
    }
    if (to)
        to->receive(bytes);
}

void ControlMemberHost::reportProblem(const state::Error &error) const
{
    if (this->hooks.problem)
        this->hooks.problem(error);
}

} // namespace lavenderthread::program
