// Datagrams that could not go out at once, in the order in which they were sent.
#pragma once

#include "state/Address.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace lavenderthread::transport {

enum class Sent : std::uint8_t {
    Taken,
    Blocked, // no room for it now: in the sender's budget, or in the system's buffer
    Refused, // can't be sent at all
};

// What can't go out yet waits here. Bounded, since news that wait longer than a slow link takes to
// send them are worth less than those behind them: the oldest is dropped.
class DatagramQueue
{
public:
    using Transmit = std::function<Sent(const state::Address &to, std::string_view datagram)>;

    // At half of 14 Mbit/s, the slowest link that was designed for, emptied in 0.6 s.
    static constexpr std::size_t mostBytes = 512U << 10U;

    explicit DatagramQueue(Transmit how)
        : transmit(std::move(how))
    {}

    void send(const state::Address &to, std::string_view datagram);
    // There may be room again.
    void flush();

    bool empty() const { return this->waiting.empty(); }
    // From any thread, over the queue's life: dropped for want of room, and refused by the system.
    std::uint64_t dropped() const { return this->droppedCount.load(std::memory_order_relaxed); }
    std::uint64_t refused() const { return this->refusedCount.load(std::memory_order_relaxed); }

private:
    struct Waiting
    {
        state::Address to;
        std::string datagram;
    };

    Sent tryNow(const state::Address &to, std::string_view datagram);

    Transmit transmit;
    std::deque<Waiting> waiting;
    std::size_t waitingBytes = 0; // sum over `waiting`, at most mostBytes
    std::atomic<std::uint64_t> droppedCount = 0;
    std::atomic<std::uint64_t> refusedCount = 0;
};

} // namespace lavenderthread::transport
