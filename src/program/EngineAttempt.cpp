// The entry's side of the engine stream protocol (docs/contracts/endpoint.md).
#include "program/EngineAttempt.h"

#include "program/Clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>

namespace lavenderthread::program {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds aliveCheckInterval{250};
constexpr milliseconds cancelTimeout{2'000};
constexpr std::size_t longestLine = 1U << 20U; // bytes; only a faulty engine sends a longer one
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;

} // namespace

struct EngineAttempt::Watch
{
    Watch(const asio::any_io_executor &executor, transport::HttpAnswerStream stream)
        : timer(executor)
        , stream(std::move(stream))
    {}

    asio::steady_timer timer;
    transport::HttpAnswerStream stream;
    bool done = false;
    bool lost = false; // the endpoint is no longer known to be alive
};

EngineAttempt::EngineAttempt(asio::any_io_executor executor, AttemptRequest request,
                             EndpointSettings settings,
                             std::function<bool(const state::EndpointDescription &)> isAlive)
    : executor(std::move(executor))
    , request(std::move(request))
    , settings(settings)
    , isAlive(std::move(isAlive))
    , share(this->request.answerBuffers)
{}

EngineAttempt::~EngineAttempt()
{
    if (!this->watch)
        return;
    this->watch->done = true;
    this->watch->timer.cancel();
    this->watch->stream.close();
}

protocol::HttpRequest EngineAttempt::startCall(bool withBody) const
{
    protocol::HttpRequest call;
    call.method = "POST";
    call.target = "/engine/streams";
    call.headers = {{"Content-Type", "application/json"},
                    {"Stream-Id", this->request.stream},
                    {"Priority", std::to_string(this->request.priority)},
                    {"Resume-From", std::to_string(this->request.resumeFrom)},
                    {"Deadline-Ms", std::to_string(remaining(this->request.deadline).count())}};
    if (this->request.spanTo > 0)
        call.headers.add("Span", std::to_string(this->request.spanFrom) + "-"
                                         + std::to_string(this->request.spanTo));
    if (withBody)
        call.body = *this->request.body;
    else
        call.headers.add("Body-Of", this->request.bodyOf);
    return call;
}

asio::awaitable<state::Result<transport::HttpAnswerStream>>
EngineAttempt::send(protocol::HttpRequest call) const
{
    const milliseconds left = remaining(this->request.deadline);
    transport::HttpCallLimits limits;
    limits.connectTimeout = std::min(this->settings.connectTimeout, left);
    limits.timeout = std::min(this->settings.silenceTimeout, left);
    return transport::openHttpStream(this->executor, this->request.endpoint.address,
                                     std::move(call), limits, {}, this->request.handle);
}

asio::awaitable<state::Result<void>> EngineAttempt::open()
{
    protocol::HttpRequest call;
    if (this->request.joinExisting) {
        call.method = "GET";
        call.target = "/engine/streams/" + this->request.stream
                      + "?from=" + std::to_string(this->request.resumeFrom);
    } else {
        call = this->startCall(this->request.bodyOf.empty());
    }
    auto opened = co_await this->send(std::move(call));
    const bool bodyMissing =
            opened && opened.value().status() == statusNotFound && !this->request.bodyOf.empty();
    if (bodyMissing) { // the engine no longer has the previous slice's body
        call = this->startCall(true);
        opened = co_await this->send(std::move(call));
    }
    if (!opened)
        co_return opened.error();
    const unsigned status = opened.value().status();
    const std::string peer = this->request.endpoint.address.toString();
    if (status == statusUnavailable)
        co_return state::makeError(state::ErrorCode::Overloaded, "engine.open",
                                   "the engine is full", peer);
    if (status != statusOk)
        co_return state::makeError(status == statusNotFound ? state::ErrorCode::NotFound
                                                            : state::ErrorCode::Unavailable,
                                   "engine.open", "the engine answered " + std::to_string(status),
                                   peer);
    this->watch = std::make_shared<Watch>(this->executor, std::move(opened.value()));
    // An engine behind a network partition sends nothing, not even a reset, and prefilling a prompt
    // of a million tokens also takes long without any data. Only the fleet membership distinguishes
    // the two.
    asio::co_spawn(
            this->executor,
            [](std::shared_ptr<Watch> watch, state::EndpointDescription endpoint,
               std::function<bool(const state::EndpointDescription &)> alive)
                    -> asio::awaitable<void> {
                while (!watch->done) {
                    watch->timer.expires_after(aliveCheckInterval);
                    co_await watch->timer.async_wait(asio::as_tuple(asio::use_awaitable));
                    if (!watch->done && !alive(endpoint)) {
                        watch->lost = true;
                        watch->stream.close();
                        co_return;
                    }
                }
            }(this->watch, this->request.endpoint, this->isAlive),
            asio::detached);
    co_return state::outcome::success();
}

asio::awaitable<state::Result<std::vector<protocol::EngineLine>>> EngineAttempt::readLines()
{
    const std::string peer = this->request.endpoint.address.toString();
    std::vector<protocol::EngineLine> lines;
    while (lines.empty()) {
        if (this->sawDone)
            co_return state::makeError(state::ErrorCode::Corrupt, "engine.read",
                                       "bytes after the done line", peer);
        const milliseconds left = remaining(this->request.deadline);
        if (left == milliseconds(0))
            co_return state::makeError(state::ErrorCode::Timeout, "engine.read", "deadline", peer);
        const milliseconds wait =
                this->sawToken ? std::min(this->settings.silenceTimeout, left) : left;
        auto piece = co_await this->watch->stream.read(wait);
        if (!piece)
            co_return piece.error();
        if (!piece.value())
            co_return state::makeError(state::ErrorCode::Unavailable, "engine.read",
                                       "the stream ended without its last line", peer);
        this->partial += *piece.value();
        std::size_t begin = 0;
        for (std::size_t end = this->partial.find('\n'); end != std::string::npos;
             end = this->partial.find('\n', begin)) {
            auto line = protocol::parseEngineLine(
                    std::string_view(this->partial).substr(begin, end - begin));
            if (!line)
                co_return line.error().withPeer(peer);
            this->sawDone = line.value().done;
            lines.push_back(std::move(line.value()));
            begin = end + 1;
        }
        this->partial.erase(0, begin);
        if (this->partial.size() > longestLine || !this->share.resizeTo(this->partial.size()))
            co_return state::makeError(state::ErrorCode::Corrupt, "engine.read", "line too long",
                                       peer);
    }
    this->sawToken = true;
    co_return lines;
}

void EngineAttempt::cancel()
{
    protocol::HttpRequest call;
    call.method = "DELETE";
    call.target = "/engine/streams/" + this->request.stream;
    transport::HttpCallLimits limits;
    limits.connectTimeout = this->settings.connectTimeout;
    limits.timeout = cancelTimeout;
    asio::co_spawn(
            this->executor,
            [](asio::any_io_executor executor, state::Address peer, protocol::HttpRequest request,
               transport::HttpCallLimits bounds) -> asio::awaitable<void> {
                co_await transport::httpCall(executor, peer, std::move(request), bounds);
            }(this->executor, this->request.endpoint.address, std::move(call), limits),
            asio::detached);
}

} // namespace lavenderthread::program
