// Messages between the system's own processes over TCP: each frame is a length of four bytes, most
// significant first, and as many sealed bytes. A connection carries messages one way: who sends
// connects. It may lose, double or reorder messages; what must arrive is asked for again above.
#pragma once

#include "protocol/Envelope.h"
#include "protocol/Seal.h"
#include "state/Address.h"
#include "state/Error.h"
#include "transport/ConnectionPool.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lavenderthread::transport {

class PeerLinkSender;

struct PeerLinkSettings
{
    state::Address listen;
    std::string context = "consensus"; // of the seal
    std::size_t frameBytes = protocol::maximumMessageBytes + protocol::sealBytes;
    std::size_t queueBytes = 16U << 20U; // waiting for one peer; beyond it the oldest are dropped
    std::size_t connections = 64; // accepted at once; for others, one of them has to make room
    std::chrono::milliseconds connectTimeout{500};
    // Data in flight unanswered for so long ends the connection. The system's own retries double
    // their pauses, so that after a partition of minutes an old connection would stay silent for
    // minutes more.
    std::chrono::milliseconds answerTimeout{1000};
    std::chrono::milliseconds idleTimeout{30'000}; // of an accepted connection, also inside a frame
    std::chrono::milliseconds firstBackoff{20};
    std::chrono::milliseconds lastBackoff{500};
};

// Called on the link's strand: pass on and return.
struct PeerLinkHooks
{
    std::function<void(std::string bytes)> received; // seal checked and taken off
    std::function<void(const state::Error &)> problem;
    // Shared by all listeners of a process.
    std::shared_ptr<ConnectionPool> pool = ConnectionPool::create();
};

class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using Strand = boost::asio::strand<boost::asio::any_io_executor>;

    // Errors: Unavailable (the address can't be bound), InvalidArgument (no IP number).
    static state::Result<std::shared_ptr<PeerLink>> listen(boost::asio::io_context &io,
                                                           const PeerLinkSettings &settings,
                                                           const protocol::SealKeys &keys,
                                                           const PeerLinkHooks &hooks);

    state::Address address() const { return this->bound; } // with the real port
    // From any thread. Connects when there is the first message for a peer.
    void send(const state::Address &peer, std::string bytes);
    // Closes the connections to all others.
    void keepOnly(const std::set<state::Address> &peers);
    // Ends all connections; no hook is called after it has run on the strand.
    void stop();

private:
    using Socket = boost::asio::ip::tcp::socket;

    PeerLink(boost::asio::io_context &io, const PeerLinkSettings &chosen,
             const protocol::SealKeys &sealKeys, const PeerLinkHooks &linkHooks);

    state::Result<void> bind();
    boost::asio::awaitable<void> acceptAll();
    boost::asio::awaitable<void> receiveAll(std::shared_ptr<Socket> socket,
                                            std::unique_ptr<ConnectionPool::Member> member);
    // The frame's bytes, read in pieces: most of a length that a stranger names need not come.
    boost::asio::awaitable<state::Result<std::string>>
    receiveFrame(Socket &socket, ConnectionPool::Member &member, std::size_t length) const;
    void report(const state::Error &error) const;

    Strand strand;
    PeerLinkSettings settings;
    protocol::SealKeys keys;
    PeerLinkHooks hooks;
    const ConnectionPool::Listener listener;
    boost::asio::ip::tcp::acceptor acceptor;
    state::Address bound;
    // The rest is used on the strand only.
    bool stopped = false;
    std::map<state::Address, std::shared_ptr<PeerLinkSender>> senders;
    std::set<std::shared_ptr<Socket>> accepted;
};

} // namespace lavenderthread::transport
