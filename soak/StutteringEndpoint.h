// An endpoint that spoils some of its answers, byte for byte: second answers, answers of other
// requests, failures of other requests, answers that break off. A StandIn announces it.
#pragma once

#include "Ledger.h"

#include "state/Address.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::soak {

enum class AnswerFault : std::uint8_t {
    None,
    SecondAnswer,   // behind the first one, at once or later
    OtherFirst,     // another request's answer comes first
    FailureFirst,   // a 500 to the same request comes first
    InterimOfOther, // a 103 that names another request comes first
    Reset,          // after two thirds of the body
    ResetEarly,     // the same, before the request has been read
    UnnamedFailure, // of another request, without its id
    AnsweredAgain,  // breaks off; the whole answer follows on the same connection, at once or later
    FailsMidway,    // breaks off; a 500 to the same request follows
    FailedResume,   // another answer in place of the rest of a stream
};
std::string_view toString(AnswerFault fault);

enum class BodyFraming : std::uint8_t { Length, Chunks, Connection };
std::string_view toString(BodyFraming framing);

// The body of a failure that belongs to no request of a caller.
constexpr std::string_view failureOfAnother = "a failure of another request";
// Longer requests are answered before their body is read if their answer is to be reset early.
constexpr std::uint64_t longRequest = 1U << 20U; // bytes

class StutteringEndpoint : public std::enable_shared_from_this<StutteringEndpoint>
{
public:
    struct Settings
    {
        state::Address listen;
        bool engine = false; // answers with streams
        std::uint64_t seed = 0;
        double spoiledShare = 0.5; // of its answers
    };

    struct Hooks
    {
        std::function<std::string()> instance; // as announced
        // Whether connections from this address to this one are refused.
        std::function<bool(const state::Address &from, const state::Address &to)> refuses =
                [](const auto &, const auto &) { return false; };
        std::function<void(const std::string &requestId, AnswerFault, BodyFraming)> answered;
    };

    StutteringEndpoint(boost::asio::io_context &context, Settings chosen, Hooks hooks,
                       Ledger &ledger);

    void start();

private:
    struct Call;

    boost::asio::awaitable<void> acceptAll();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> spoil(boost::asio::ip::tcp::socket &socket, const Call &call);
    AnswerFault drawFault(bool isLong, bool isResumed);
    BodyFraming drawFraming();
    std::vector<std::string> answerParts(const Call &call, const std::string &id, unsigned status);
    std::string drawOtherId(const Call &call);
    std::string drawWrongResume(const Call &call);

    boost::asio::io_context &context;
    Settings settings;
    Hooks hooks;
    Ledger &ledger;
    std::mt19937_64 random;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace lavenderthread::soak
