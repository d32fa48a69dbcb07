// Keeps requests from endpoints if their like has crashed endpoints. Gathers the evidence of this
// process and its peers for coordination::quarantine::RequestQuarantine, and passes it on.
#pragma once

#include "coordination/quarantine/RecentAnswers.h"
#include "coordination/quarantine/RequestQuarantine.h"
#include "protocol/PeerUpdate.h"
#include "state/Endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lavenderthread::program {

// The request has not run. Its like is refused until the next trial.
struct RequestRefusal
{
    std::string detail;
    std::chrono::milliseconds retryAfter{};
};

class RequestGuard : public std::enable_shared_from_this<RequestGuard>
{
public:
    struct Hooks
    {
        // With all peers that send to endpoints.
        std::function<void(protocol::PeerUpdate)> share = [](auto) {};
        // With some random members of any kind.
        std::function<void(std::vector<protocol::PeerUpdate>)> shareWithSome = [](auto) {};
    };

    static std::shared_ptr<RequestGuard> create(boost::asio::io_context &context, Hooks hooks);

    // Begins to repeat to other members what they need to refuse the same requests.
    void start();

    // All of these may be called from any thread.
    std::optional<RequestRefusal> refusal(const state::ServiceName &service,
                                          const std::vector<state::RequestPart> &parts) const;
    // The same, directly before the request is sent; it may become a trial.
    std::optional<RequestRefusal> refusalBeforeSend(const state::RequestId &request,
                                                    const state::ServiceName &service,
                                                    const std::vector<state::RequestPart> &parts);
    // The endpoint has ended the connection before the end of the answer. `firstEventAt` is
    // Instant{} if no event had come.
    boost::asio::awaitable<void> attemptLost(state::EndpointDescription endpoint,
                                             std::vector<state::RequestPart> parts,
                                             state::Instant sentAt, state::Instant firstEventAt);
    // Events of an answer have come, the first one at that time.
    void answerContinues(const state::ServiceName &service,
                         const std::vector<state::RequestPart> &parts, state::Instant firstEventAt);
    // The endpoint has ended the answer itself.
    void answerSurvived(const state::ServiceName &service,
                        const std::vector<state::RequestPart> &parts);
    // The answer ended with its connection, as it would have in a crash.
    boost::asio::awaitable<void> connectionEnded(state::EndpointDescription endpoint,
                                                 std::vector<state::RequestPart> parts);
    // Whether a request that an endpoint has cut off may be sent to another one.
    bool mayRepeat(const state::ServiceName &service,
                   const std::vector<state::RequestPart> &parts) const;
    std::size_t blockCount() const;

    void peerReported(const coordination::quarantine::CrashReport &report);
    void peerCleared(const coordination::quarantine::PartCleared &cleared);
    void peerStartedTrial(const coordination::quarantine::TrialStarted &trial);

private:
    using Blocks = std::vector<coordination::quarantine::Block>;

    RequestGuard(boost::asio::io_context &context, Hooks hooks);

    boost::asio::awaitable<void> repeatForEver();
    bool isSuspect(const state::ServiceName &service,
                   const std::vector<state::RequestPart> &parts) const;
    bool isKnownCrash(const coordination::quarantine::CrashId &crash) const;
    // Updates `hasSuspects` and logs blocks that began or ended. Call with the mutex held, after
    // each change.
    void noteChange();

    boost::asio::io_context &context;
    Hooks hooks;
    mutable std::mutex mutex; // guards the members below; never held across I/O or a hook
    coordination::quarantine::RequestQuarantine quarantine;
    coordination::quarantine::RecentAnswers answers; // that this process has passed on
    Blocks loggedBlocks;
    std::minstd_rand random;               // which reports are repeated; any seed will do
    std::atomic<bool> hasSuspects = false; // false: nothing is refused, and no part can be cleared
};

} // namespace lavenderthread::program
