// Runs the admission and routing state machine of this entry.
#pragma once

#include "coordination/admission/Dispatcher.h"
#include "program/EndpointRegistry.h"
#include "program/RelayCodec.h"
#include "program/Scheduler.h"
#include "program/Settings.h"
#include "state/routes/EngineProfile.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>

namespace lavenderthread::program {

// Runs the dispatcher on one strand with one timer, and resumes the relays' coroutines when their
// placement is decided.
class DispatcherScheduler : public std::enable_shared_from_this<DispatcherScheduler>
{
public:
    struct Hooks
    {
        // Send to the entries that route to the same engines; may be empty for a single node.
        std::function<void(const coordination::routing::WorkNote &)> shareWork;
        std::function<void(const state::VmId &peer, const coordination::routing::WorkNote &)>
                shareWorkWith;
        std::function<void(const coordination::admission::BacklogNote &)> shareBacklog;
        // Tells them that another endpoint has that engine's address.
        std::function<void(const state::EndpointId &, std::uint64_t incarnation)> shareReplaced;
        // What this entry may send to a cold endpoint; empty: no endpoint is limited.
        std::function<std::optional<coordination::routing::ColdShare>(const RegisteredEndpoint &)>
                coldShare;
        // Counts a refusal by its cause and the request's rank.
        std::function<void(const std::string &cause, std::uint8_t rank)> countRefusal;
        // Requests that reserve memory on engines with a declared profile.
        MemoryReservationCodec memory;
    };

    static std::shared_ptr<DispatcherScheduler>
    create(boost::asio::io_context &context, const Settings &settings,
           const coordination::routing::PolicySettings &policy,
           std::shared_ptr<EndpointRegistry> registry, Hooks hooks);
    ~DispatcherScheduler();

    // The interface for the relays. Its functions keep this object alive.
    Scheduler scheduler();

    // Passes an event from engines, the table or peers to the dispatcher. Any thread.
    void post(coordination::admission::Event event);
    // A peer has found another endpoint at that engine's address. Any thread.
    void engineReplaced(const state::EndpointId &engine, std::uint64_t incarnation);
    // Updates the dispatcher's engines from the registry's table. Any thread.
    void refreshEndpoints();
    // coldShare() has other results. Any thread.
    void refreshColdShares();
    // Sets the engine profiles that operators declare, by service. Any thread.
    void setProfiles(std::map<state::ServiceName, state::routes::EngineProfile> profiles);

    struct State; // accessed on the strand only
    explicit DispatcherScheduler(std::unique_ptr<State> state);

private:
    std::unique_ptr<State> state;
};

} // namespace lavenderthread::program
