// A whole control member: data folder, control state, peer link and consensus, wired.
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
    // Of a folder that holds no log yet; never one that another disk had. A member whose disk was
    // lost would otherwise vote again in terms in which it has voted already.
    std::string newIdentity;
    // The first set of a new cluster, the same at each of its members and given only when the
    // cluster is founded; without it a new folder waits to be added as a learner. Not read when the
    // folder holds a log.
    std::optional<coordination::consensus::MemberSet> founders;
    std::size_t segmentBytes = 16U << 20U; // of the log; a restart reads what is in segments
    state::Address listen;
    protocol::SealKeys keys;
    coordination::consensus::Settings consensus;
    std::uint64_t seed = 0;
};

// Called on the member's strand.
struct ControlMemberHostHooks
{
    // The command came into force in state().
    std::function<void(const state::log::LogPosition &, const state::control::Command &,
                       const state::control::Answer &)>
            applied;
    std::function<void()> restored; // state() was replaced by a newer one
    std::function<void(const coordination::consensus::RoleChange &)> roleChanged;
    std::function<void(const state::Error &)> problem; // for the log; also from the link's strand
};

// Lives as long as any thread runs the io_context, and ends before the io_context.
class ControlMemberHost
{
public:
    // Errors of the folder (Corrupt, StorageFailed, Unavailable), of the address (Unavailable), and
    // InvalidArgument if the folder's identity is none of the founders.
    static state::Result<std::unique_ptr<ControlMemberHost>>
    open(boost::asio::io_context &io, const ControlMemberHostSettings &settings,
         const ControlMemberHostHooks &hooks);

    void start() { this->controlMember->start(); }
    void stop();

    ControlMember &member() { return *this->controlMember; }
    const state::VmId &id() const { return this->identity; }
    state::Address address() const { return this->link->address(); }
    // On the member's strand only: in its hooks and in the callbacks of propose and read.
    const state::control::ControlState &state() const { return this->controlState; }

private:
    ControlMemberHost(boost::asio::io_context &context, const ControlMemberHostHooks &hostHooks);

    state::Result<void> openFolder(const ControlMemberHostSettings &settings);
    state::Result<void> openLink(const ControlMemberHostSettings &settings);
    state::Result<void> build(const ControlMemberHostSettings &settings);
    ControlMemberHooks memberHooks();
    state::control::Answer apply(const state::log::LogEntry &entry);
    void restore(const state::log::LogSnapshot &snapshot);
    void capture(const std::function<void(std::string bytes)> &done);
    void receive(const std::string &bytes);
    void report(const state::Error &error) const;

    boost::asio::io_context &io;
    ControlMemberHostHooks hooks;
    state::VmId identity;
    coordination::consensus::Stored stored; // as found; empty once the member runs
    state::control::ControlState controlState;
    std::mutex memberMutex; // guards the pointer while the link runs and the member does not yet
    std::shared_ptr<ControlMember> controlMember;
    std::shared_ptr<transport::PeerLink> link;
    std::unique_ptr<transport::storage::DurableLog> log; // until the writer takes it
    // Ends first: its threads call the member.
    std::unique_ptr<transport::storage::LogWriter> writer;
};

} // namespace lavenderthread::program
