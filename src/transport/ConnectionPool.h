// The connections of all listeners of a process, and what they hold together. Closes connections
// that have to make room for others.
#pragma once

#include "state/ConnectionBudget.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace lavenderthread::transport {

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    using Settings = state::ConnectionBudget::Settings;
    using Counts = state::ConnectionBudget::Counts;
    using Phase = state::ConnectionPhase;
    using Listener = state::ConnectionBudget::Listener;

    // One connection; leaves the pool at the end of its lifetime.
    class Member
    {
    public:
        Member(std::shared_ptr<ConnectionPool> pool, state::ConnectionBudget::Id id);
        ~Member();
        Member(const Member &) = delete;
        Member &operator=(const Member &) = delete;

        // False: it has been closed to make room.
        bool enter(Phase phase);
        // So many bytes are held for it now. False: there is no room for them.
        bool resize(std::size_t bytes);
        void setAnswerBytes(std::size_t bytes);

    private:
        std::shared_ptr<ConnectionPool> pool; // never null
        const state::ConnectionBudget::Id id;
    };

    static std::shared_ptr<ConnectionPool> create(Settings settings = {});

    Listener addListener();
    // A new connection of the listener, which may hold `most`. Null: there is no room. `close` is
    // called at most once, from any thread, if the connection has to make room, and not after the
    // member is gone.
    std::unique_ptr<Member> join(Listener listener, std::size_t most, std::function<void()> close);
    // Closes the connection that reads its answer most slowly, if one does.
    void closeSlowestReader();
    Counts counts() const;

private:
    explicit ConnectionPool(Settings settings);

    // With the mutex held.
    void closeAll(const std::vector<state::ConnectionBudget::Id> &connections);

    mutable std::mutex mutex; // guards the members below
    state::ConnectionBudget budget;
    std::map<state::ConnectionBudget::Id, std::function<void()>> closers; // of the members
    Listener listeners = 0;
};

} // namespace lavenderthread::transport
