// Drives the admission and routing state machine of this entry: one strand, its timer, and the
// relays' coroutines that wait for their placement.
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

class DispatcherScheduler : public std::enable_shared_from_this<DispatcherScheduler>
{
public:
    struct Hooks
    {
        // To the entries that route to the same engines; may be empty for a node alone.
        std::function<void(const coordination::routing::WorkNote &)> shareWork;
        std::function<void(const coordination::admission::BacklogNote &)> shareBacklog;
        MemoryOrders memory; // for engines that work in declared passes
    };

    static std::shared_ptr<DispatcherScheduler>
    create(boost::asio::io_context &context, const Settings &settings,
           const coordination::routing::PolicySettings &policy,
           std::shared_ptr<EndpointRegistry> registry, Hooks hooks);
    ~DispatcherScheduler();

    // What the relays use. The functions keep this object alive.
    Scheduler scheduler();

    // News of engines, table and peers, from any thread.
    void post(coordination::admission::Event event);
    // Brings the policy's engines in line with the registry's table.
    void refreshEndpoints();
    // How the engines of these services work, as operators declare it.
    void setProfiles(std::map<state::ServiceName, state::routes::EngineProfile> profiles);

    struct State; // only touched on the strand
    explicit DispatcherScheduler(std::unique_ptr<State> state);

private:
    std::unique_ptr<State> state;
};

} // namespace lavenderthread::program
