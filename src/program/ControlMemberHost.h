// A complete control member: data folder, control state, peer link and consensus.
#pragma once

#include "coordination/consensus/Members.h"
#include "coordination/consensus/Settings.h"
#include "program/ControlMember.h"
#include "protocol/Seal.h"
#include "state/control/ControlState.h"
#include "transport/PeerLink.h"
#include "transport/storage/LogWriter.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace lavenderthread::program {

struct ControlMemberHostSettings
{
    std::string folder;
    // Identity for a folder that holds no log yet; must never have been used with another disk. A
    // member that lost its disk could otherwise vote again in terms in which it has already voted.
    std::string newIdentity;
    // The initial member set of a new cluster, the same on each of its members and given only at
    // bootstrap. Without it a member with a new folder waits to be added as a learner. Ignored if
    // the folder holds a log.
    std::optional<coordination::consensus::MemberSet> founders;
    std::size_t segmentBytes = 16U << 20U; // size of a log segment; a restart reads all segments
    state::Address listen;
    protocol::SealKeys keys;
    coordination::consensus::Settings consensus;
    std::uint64_t seed = 0;
};

// Called on the member's strand.
struct ControlMemberHostHooks
{
    // The command has been applied to state().
    std::function<void(const state::log::LogPosition &, const state::control::Command &,
                       const state::control::Answer &)>
            applied;
    std::function<void()> restored; // state() was replaced by a newer one
    std::function<void(const coordination::consensus::RoleChange &)> roleChanged;
    std::function<void(const coordination::consensus::MemberSet &)> membersChanged; // committed
    // An error to be logged; also called on the link's strand.
    std::function<void(const state::Error &)> problem;
    std::shared_ptr<transport::ConnectionPool> pool =
            transport::ConnectionPool::create(); // of the process
};

// Must outlive every thread that runs the io_context, and be destroyed before the io_context.
class ControlMemberHost
{
public:
    // Errors: of the folder (Corrupt, StorageFailed, Unavailable), of the address (Unavailable),
    // and InvalidArgument if the folder's identity is not a voter among the founders.
    static state::Result<std::unique_ptr<ControlMemberHost>>
    open(boost::asio::io_context &io, const ControlMemberHostSettings &settings,
         const ControlMemberHostHooks &hooks);

    void start() { this->controlMember->start(); }
    void stop();

    ControlMember &member() { return *this->controlMember; }
    const state::VmId &id() const { return this->identity; }
    state::Address address() const { return this->peerLink->address(); }
    // Segments in the folder that recovery did not need; some after a loss of power.
    std::size_t segmentsPassedOver() const { return this->passedOver; }
    // Use on the member's strand only: in its hooks and in the callbacks of propose() and read().
    const state::control::ControlState &state() const { return this->controlState; }

private:
    ControlMemberHost(boost::asio::io_context &context, const ControlMemberHostHooks &hostHooks);

    state::Result<void> openFolder(const ControlMemberHostSettings &settings);
    state::Result<void> openLink(const ControlMemberHostSettings &settings);
    state::Result<void> createMember(const ControlMemberHostSettings &settings);
    ControlMemberHooks memberHooks();
    state::control::Answer apply(const state::log::LogEntry &entry);
    void restore(const state::log::LogSnapshot &snapshot);
    void captureState(const std::function<void(std::string bytes)> &done);
    void receive(const std::string &bytes);
    void reportProblem(const state::Error &error) const;

    boost::asio::io_context &io;
    ControlMemberHostHooks hooks;
    state::VmId identity;
    std::size_t passedOver = 0;
    // As read from the folder; empty once the member is created.
    coordination::consensus::StoredState stored;
    state::control::ControlState controlState;
    std::mutex memberMutex; // guards controlMember while the link runs before the member exists
    std::shared_ptr<ControlMember> controlMember;
    std::shared_ptr<transport::PeerLink> peerLink;
    std::unique_ptr<transport::storage::DurableLog> log; // null once the writer owns it
    // Declared last so that it is destroyed first: its threads call the member.
    std::unique_ptr<transport::storage::LogWriter> writer;
};

} // namespace lavenderthread::program
