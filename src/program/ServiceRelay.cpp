// Stages of one plain service call: claim, choice of a replica, dispatch, answer.
#include "program/ServiceRelay.h"

#include "program/Clock.h"
#include "program/HeaderValues.h"
#include "program/RequestParts.h"
#include "transport/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <xxhash.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <optional>

namespace lavenderthread::program {

namespace asio = boost::asio;
using protocol::Problem;
using protocol::Ran;

namespace {

constexpr std::string_view servicesPrefix = "/services/";
constexpr std::chrono::milliseconds retryAfterRefusal{500};
constexpr std::chrono::milliseconds retryAfterInProgress{1'000};
constexpr std::size_t longestIdempotencyKey = 255;
constexpr int maximumAttempts = 3;
// Once the process ends, answers of the control members are awaited for this long in all. The
// answer to the caller still has to leave after that.
constexpr std::chrono::milliseconds claimTimeAtEnd{150};

// The parts of "/services/NAME/rest?query".
struct ServiceTarget
{
    state::ServiceName service;
    std::string rest; // starts with the slash after the name
};

std::optional<ServiceTarget> splitTarget(const std::string &target)
{
    const std::string_view tail = std::string_view(target).substr(servicesPrefix.size());
    const auto end = tail.find_first_of("/?");
    const std::string_view name = tail.substr(0, end);
    if (name.empty())
        return std::nullopt;
    std::string rest(end == std::string_view::npos ? std::string_view() : tail.substr(end));
    if (rest.empty() || rest.front() != '/')
        rest.insert(rest.begin(), '/');
    return ServiceTarget{state::ServiceName(std::string(name)), std::move(rest)};
}

// The part of a request that must be equal whenever its Idempotency-Key is reused.
std::string claimedBody(const protocol::HttpRequest &request)
{
    return request.method + ' ' + request.target + '\n' + request.body;
}

// The value of a step that may outlast whoever waits for it. Touched on one strand.
template <typename Value>
struct PendingValue
{
    explicit PendingValue(const asio::any_io_executor &executor)
        : changed(executor)
    {}

    asio::steady_timer changed;
    std::optional<Value> value;
    std::exception_ptr failure;
};

template <typename Value>
asio::awaitable<void> storeValue(asio::awaitable<Value> step,
                                 std::shared_ptr<PendingValue<Value>> pending)
{
    Value value = co_await std::move(step);
    pending->value.emplace(std::move(value));
}

// Releases a claim that is granted when nobody waits for it any more.
asio::awaitable<state::Result<ClaimAnswer>>
takeUnlessAbandoned(ClaimGate claims, ClaimKey key, std::string body, std::string attempt,
                    state::Instant deadline, std::shared_ptr<const bool> abandoned)
{
    auto answer = co_await claims.take(key, std::move(body), attempt, deadline);
    if (*abandoned && answer && answer.value().verdict == ClaimVerdict::Granted)
        co_await claims.release(key, attempt);
    co_return answer;
}

asio::awaitable<bool> finishClaim(ClaimGate claims, ClaimKey key, std::string attempt,
                                  protocol::HttpResponse result)
{
    co_await claims.finish(key, attempt, std::move(result));
    co_return true;
}

// State of one call while it is relayed.
class RelayedCall
{
public:
    RelayedCall(const Settings &settings, const ServiceRelay::Hooks &hooks,
                transport::HttpExchange &exchange, const AccountSetting &account,
                ServiceTarget target, state::Instant deadline)
        : settings(settings)
        , hooks(hooks)
        , exchange(exchange)
        , account(account.id)
        , target(std::move(target))
        , deadline(deadline)
        , parts(partsOf(exchange.request(), {}, {}))
        , id(hooks.nextRequestId())
        , arrival(monotonicNow())
        , openRequest(hooks.openRequests->open(this->arrival))
        , share(hooks.answerBuffers)
    {
        this->openRequest.setId(this->id);
        this->openRequest.onEnd(exchange.executor(), [this] {
            this->ending = true;
            this->claimLimit = monotonicNow() + claimTimeAtEnd;
            this->call->cancel();
            if (this->shortenWait)
                this->shortenWait();
        });
    }

    asio::awaitable<ServiceOutcome> run()
    {
        const protocol::HttpRequest &request = this->exchange.request();
        const Repeatability repeatability =
                repeatabilityOf(this->findSetting(), request.method, this->pathOfRest());
        protocol::HttpResponse answer;
        if (repeatability == Repeatability::Claimed)
            answer = co_await this->runClaimed();
        else
            answer = co_await this->runUnclaimed(repeatability == Repeatability::Idempotent);
        answer.headers.add("Request-Id", this->id.value());
        this->openRequest.enter(RequestStage::Answering);
        ServiceOutcome outcome{this->id,      this->account, this->target.service,
                               answer.status, this->ran,     monotonicNow() - this->arrival};
        co_await this->exchange.respond(std::move(answer));
        co_return outcome;
    }

private:
    const ServiceSetting *findSetting() const
    {
        for (const ServiceSetting &service : this->settings.services) {
            if (service.name == this->target.service)
                return &service;
        }
        return nullptr;
    }

    std::string pathOfRest() const
    {
        return this->target.rest.substr(0, this->target.rest.find('?'));
    }

    // Live replicas, those of this failure domain first. The order among equals differs by request.
    std::vector<state::EndpointDescription> replicas() const
    {
        std::vector<state::EndpointDescription> found;
        const auto table = this->hooks.endpoints();
        for (const auto &[endpointId, endpoint] : table->endpoints) {
            if (endpoint.description.kind == state::EndpointKind::PlainService
                && endpoint.description.service == this->target.service && !endpoint.draining)
                found.push_back(endpoint.description);
        }
        const auto rank = [&](const state::EndpointDescription &endpoint) {
            const std::string text = endpoint.id.value() + this->id.value();
            return std::pair(endpoint.failureDomain != this->settings.failureDomain,
                             XXH3_64bits(text.data(), text.size()));
        };
        std::sort(found.begin(), found.end(),
                  [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
        return found;
    }

    // The value of a step that needs the control members. Nothing if the process ends first; the
    // step goes on without this call then.
    template <typename Value>
    asio::awaitable<std::optional<Value>> awaitUntilEnd(asio::awaitable<Value> step)
    {
        const asio::any_io_executor executor = this->exchange.executor();
        const auto pending = std::make_shared<PendingValue<Value>>(executor);
        asio::co_spawn(executor, storeValue(std::move(step), pending),
                       [pending](const std::exception_ptr &failure) {
                           pending->failure = failure;
                           pending->changed.cancel();
                       });
        this->shortenWait = [pending] { pending->changed.cancel(); };
        while (!pending->value && !pending->failure && monotonicNow() < this->claimLimit) {
            if (this->ending)
                pending->changed.expires_after(remaining(this->claimLimit));
            else
                pending->changed.expires_at(asio::steady_timer::time_point::max());
            co_await pending->changed.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        this->shortenWait = {};
        if (pending->failure)
            std::rethrow_exception(pending->failure);
        co_return std::move(pending->value);
    }

    asio::awaitable<protocol::HttpResponse> runClaimed()
    {
        const auto header = this->exchange.request().headers.find("Idempotency-Key");
        if (!header || header->empty() || header->size() > longestIdempotencyKey)
            co_return this->problem({400, "idempotency-key-needed",
                                     "this call needs an Idempotency-Key of 1 to 255 characters",
                                     Ran::No, std::nullopt});
        const ClaimKey key{this->account, std::string(*header)};
        const auto abandoned = std::make_shared<bool>(false);
        auto taking =
                takeUnlessAbandoned(this->hooks.claims, key, claimedBody(this->exchange.request()),
                                    this->id.value(), this->deadline, abandoned);
        const auto taken = co_await this->awaitUntilEnd(std::move(taking));
        if (!taken) {
            *abandoned = true;
            // Nothing was sent, but the claim may be held for a while.
            co_return this->problem({502, "claim-unknown",
                                     "this node ends before it knows whether the claim was granted",
                                     Ran::Unknown, std::nullopt});
        }
        const state::Result<ClaimAnswer> &claim = *taken;
        if (!claim)
            co_return this->problem(
                    {503, "claim-unavailable", claim.error().cause, Ran::No, retryAfterRefusal});
        if (claim.value().verdict != ClaimVerdict::Granted)
            co_return this->answerWithoutRunning(claim.value());
        co_return co_await this->dispatchOnce(key);
    }

    protocol::HttpResponse answerWithoutRunning(const ClaimAnswer &claim)
    {
        switch (claim.verdict) {
        case ClaimVerdict::Finished: {
            this->ran = Ran::Yes;
            protocol::HttpResponse first = claim.result;
            first.headers.add("Idempotent-Replay", "true");
            return first;
        }
        case ClaimVerdict::Conflict:
            return this->problem({422, "idempotency-key-reused",
                                  "the same Idempotency-Key came with another request", Ran::No,
                                  std::nullopt});
        case ClaimVerdict::InProgress:
            return this->problem({409, "in-progress", "the first request with this key is running",
                                  Ran::Unknown, retryAfterInProgress});
        default:
            return this->problem({409, "fate-unknown",
                                  "a request with this key was sent and its result was lost; it is "
                                  "not sent again",
                                  Ran::Unknown, std::nullopt});
        }
    }

    // Tries the replicas in turn until one accepts the connection. After that there is no retry.
    asio::awaitable<protocol::HttpResponse> dispatchOnce(const ClaimKey &key)
    {
        const std::string attempt = this->id.value();
        // Connect, then mark the claim as dispatched, then send. A replica that is down thus does
        // not use up the key, and no byte is sent before the mark is committed.
        const auto mark = [this, key, attempt]() -> asio::awaitable<bool> {
            auto marking = this->hooks.claims.beginDispatch(key, attempt, this->deadline);
            const auto granted = co_await this->awaitUntilEnd(std::move(marking));
            co_return granted.value_or(false) && !this->ending;
        };
        const auto answer = co_await this->callReplicas(false, mark);
        if (answer) {
            auto finishing = finishClaim(this->hooks.claims, key, attempt, answer.value());
            co_await this->awaitUntilEnd(std::move(finishing));
            co_return answer.value();
        }
        // The answer is "no" only after the release of the claim is committed. If the mark was
        // committed but its answer was lost, the key counts as dispatched and the release fails.
        if (this->ran == Ran::No) {
            auto releasing = this->hooks.claims.release(key, attempt);
            const auto released = co_await this->awaitUntilEnd(std::move(releasing));
            this->ran = released.value_or(false) ? Ran::No : Ran::Unknown;
        }
        co_return this->failure(answer.error());
    }

    asio::awaitable<protocol::HttpResponse> runUnclaimed(bool repeatable)
    {
        const auto answer = co_await this->callReplicas(repeatable);
        co_return answer ? answer.value() : this->failure(answer.error());
    }

    asio::awaitable<state::Result<protocol::HttpResponse>>
    callReplicas(bool repeatable, transport::BeforeSend beforeSend = {})
    {
        state::Error last = state::makeError(state::ErrorCode::Unavailable, "service.choose",
                                             "no replica of the service is ready");
        int attempts = 0;
        for (const state::EndpointDescription &replica : this->replicas()) {
            // Its failure domain may have been evacuated while others were tried.
            if (isEvacuated(*this->hooks.endpoints(), replica))
                continue;
            const auto left = remaining(this->deadline);
            if (left == std::chrono::milliseconds(0) || this->ending
                || attempts++ == maximumAttempts)
                break;
            transport::HttpCallLimits limits;
            limits.connectTimeout = std::min(this->settings.endpoint.connectTimeout, left);
            limits.timeout = left;
            limits.mayKeep = [this](std::uint64_t bytes) { return this->share.resizeTo(bytes); };
            const state::Instant sentAt = monotonicNow();
            this->openRequest.enter(RequestStage::Sent);
            const auto answer = co_await transport::httpCall(
                    this->exchange.executor(), replica.address, this->forwarded(attempts), limits,
                    this->guarded(beforeSend), this->call);
            if (answer) {
                this->ran = Ran::Yes;
                co_await this->hooks.guard->connectionEnded(replica, this->parts);
                co_return answer.value();
            }
            last = answer.error();
            if (last.step == transport::beforeSendStep)
                break;
            if (transport::isUnseen(last))
                continue;
            this->ran = Ran::Unknown;
            if (last.code == state::ErrorCode::Unavailable)
                co_await this->hooks.guard->attemptLost(replica, this->parts, sentAt, {});
            if (!repeatable || !this->hooks.guard->mayRepeat(this->target.service, this->parts))
                break;
        }
        co_return last;
    }

    // Refuses a call whose like has crashed replicas. Not before the claim is taken: an earlier
    // call with its key may have run.
    transport::BeforeSend guarded(transport::BeforeSend beforeSend)
    {
        return [this, beforeSend = std::move(beforeSend)]() -> asio::awaitable<bool> {
            this->refusal = this->hooks.guard->refusalBeforeSend(this->id, this->target.service,
                                                                 this->parts);
            if (this->refusal)
                co_return false;
            if (!beforeSend)
                co_return true;
            co_return co_await beforeSend();
        };
    }

    protocol::HttpResponse refused(const RequestRefusal &reason)
    {
        return this->problem({503, "request-refused", reason.detail, this->ran, reason.retryAfter});
    }

    protocol::HttpRequest forwarded(int attempt) const
    {
        const protocol::HttpRequest &request = this->exchange.request();
        protocol::HttpRequest call;
        call.method = request.method;
        call.target = this->target.rest;
        call.body = request.body;
        for (const char *name : {"Content-Type", "Accept", "Idempotency-Key"}) {
            if (const auto value = request.headers.find(name))
                call.headers.add(name, std::string(*value));
        }
        call.headers.add("Attempt-Id", this->id.value() + "." + std::to_string(attempt));
        return call;
    }

    protocol::HttpResponse failure(const state::Error &error)
    {
        if (this->refusal && this->ran == Ran::No)
            return this->refused(*this->refusal);
        const bool deadlinePassed = remaining(this->deadline) == std::chrono::milliseconds(0);
        std::optional<std::chrono::milliseconds> retryAfter;
        if (this->ran == Ran::No)
            retryAfter = retryAfterRefusal;
        return this->problem({deadlinePassed         ? 504U
                              : this->ran == Ran::No ? 503U
                                                     : 502U,
                              deadlinePassed ? "deadline" : "service-failed",
                              error.step + ": " + error.cause, this->ran, retryAfter});
    }

    protocol::HttpResponse problem(const Problem &problem)
    {
        this->ran = problem.ran;
        return protocol::toResponse(problem);
    }

    const Settings &settings;
    const ServiceRelay::Hooks &hooks;
    transport::HttpExchange &exchange;
    state::ClientAccountId account;
    ServiceTarget target;
    state::Instant deadline;
    std::vector<state::RequestPart> parts;
    state::RequestId id;
    state::Instant arrival;
    OpenRequest openRequest;
    AnswerBuffers::Share share; // of the answer, until the caller has it
    std::shared_ptr<transport::HttpCallHandle> call = std::make_shared<transport::HttpCallHandle>();
    bool ending = false; // the process ends, and the call must be answered now
    // Until then, steps that need the control members are awaited.
    state::Instant claimLimit = state::Instant::max();
    std::function<void()> shortenWait; // applies `claimLimit` to the present wait, if there is one
    std::optional<RequestRefusal> refusal; // of the last attempt
    Ran ran = Ran::No;
};

bool matches(const std::string &rule, const std::string &method, const std::string &path)
{
    const auto blank = rule.find(' ');
    return blank != std::string::npos && rule.substr(0, blank) == method
           && path.starts_with(rule.substr(blank + 1));
}

} // namespace

Repeatability repeatabilityOf(const ServiceSetting *service, const std::string &method,
                              const std::string &path)
{
    if (service != nullptr) {
        for (const std::string &rule : service->nonIdempotent) {
            if (matches(rule, method, path))
                return Repeatability::Claimed;
        }
    }
    // The methods that HTTP defines as idempotent.
    static const std::vector<std::string> idempotent = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    const bool safe = std::find(idempotent.begin(), idempotent.end(), method) != idempotent.end();
    return safe ? Repeatability::Idempotent : Repeatability::NeverRepeated;
}

ServiceRelay::ServiceRelay(const Settings &settings, Hooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
{}

asio::awaitable<void> ServiceRelay::run(transport::HttpExchange &exchange,
                                        const AccountSetting &account) const
{
    auto target = splitTarget(exchange.request().target);
    const auto deadline = deadlineOf(exchange.request(), this->settings.entry.defaultDeadline);
    if (!target || !deadline) {
        const state::Error error =
                deadline ? state::makeError(state::ErrorCode::InvalidArgument, "service.target",
                                            "the path must be /services/NAME/…")
                         : deadline.error();
        co_await exchange.respond(toResponse(invalidRequest(error)));
        co_return;
    }
    RelayedCall call(this->settings, this->hooks, exchange, account, std::move(*target),
                     monotonicNow() + deadline.value());
    this->hooks.finished(co_await call.run());
}

} // namespace lavenderthread::program
