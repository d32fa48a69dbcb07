#include "program/RequestGuard.h"

#include "program/Clock.h"
#include "program/Log.h"
#include "transport/Await.h"
#include "transport/ConnectProbe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;
using coordination::quarantine::Block;
using coordination::quarantine::CrashId;
using coordination::quarantine::CrashOfPart;
using coordination::quarantine::CrashReport;
using coordination::quarantine::PartCleared;
using coordination::quarantine::ReportResult;
using coordination::quarantine::SendDecision;
using coordination::quarantine::SendVerdict;
using coordination::quarantine::TrialStarted;
using state::RequestPart;
using state::ServiceName;
using std::chrono::milliseconds;

namespace {

// The port of a crashed endpoint is closed at once, and an endpoint needs seconds to start. A lost
// packet leaves it open whether it has crashed.
constexpr milliseconds portProbeTime{200};
// Members that have started, were cut off, or have missed a datagram learn of a block within a few
// of these intervals.
constexpr milliseconds repeatInterval{500};
// With three receivers in each interval, some 5 kB a second while anything is blocked.
constexpr std::size_t maximumRepeatedReports = 12;

// An answer that has gone on for so long after its first event was survived by its endpoint.
constexpr milliseconds survivalTime{150};

bool hasSurvived(state::Instant firstEventAt)
{
    return firstEventAt != state::Instant{} && monotonicNow() - firstEventAt >= survivalTime;
}

std::string formatCrashes(const std::vector<CrashOfPart> &crashes)
{
    std::string text;
    for (const CrashOfPart &crash : crashes)
        text += (text.empty() ? "" : ",") + crash.id.endpoint.value();
    return text;
}

void logReport(LogLevel level, const CrashReport &report, const char *source)
{
    logEvent(level, "quarantine.crash-reported",
             {{"service", report.service.value()},
              {"endpoint", report.crash.endpoint.value()},
              {"incarnation", report.crash.incarnation},
              {"parts", state::formatRequestParts(report.parts)},
              {"begun", report.hasBegun ? "yes" : "no"},
              {"age_us", report.ageUs},
              {"sent_age_us", report.sentAgeUs},
              {"source", source}});
}

void logCleared(LogLevel level, const PartCleared &cleared, const char *source)
{
    logEvent(level, "quarantine.cleared",
             {{"service", cleared.service.value()},
              {"part", state::formatRequestParts({cleared.part})},
              {"source", source}});
}

void logBlock(const char *event, const Block &block)
{
    const state::Instant now = monotonicNow();
    logEvent(LogLevel::Warning, event,
             {{"service", block.service.value()},
              {"parts", state::formatRequestParts(block.parts)},
              {"crashes", formatCrashes(block.crashes)},
              {"first_age_ms", toMilliseconds(now - block.firstCrashAt())},
              {"last_age_ms", toMilliseconds(now - block.lastCrashAt())}});
}

std::optional<RequestRefusal> toRefusal(const SendDecision &decision)
{
    if (decision.verdict != SendVerdict::Refuse)
        return std::nullopt;
    const Block &block = *decision.block;
    return RequestRefusal{
            std::to_string(block.crashes.size()) + " endpoints crashed on requests with part "
                    + state::formatRequestParts(block.parts) + ", the last "
                    + std::to_string(toMilliseconds(monotonicNow() - block.lastCrashAt()))
                    + " ms ago",
            std::chrono::ceil<milliseconds>(decision.retryAfter)};
}

} // namespace

RequestGuard::RequestGuard(asio::io_context &context, Hooks hooks)
    : context(context)
    , hooks(std::move(hooks))
{}

std::shared_ptr<RequestGuard> RequestGuard::create(asio::io_context &context, Hooks hooks)
{
    return std::shared_ptr<RequestGuard>(new RequestGuard(context, std::move(hooks)));
}

void RequestGuard::start()
{
    asio::co_spawn(
            this->context, [self = this->shared_from_this()] { return self->repeatForEver(); },
            asio::detached);
}

asio::awaitable<void> RequestGuard::repeatForEver()
{
    while (true) {
        co_await transport::pause(repeatInterval);
        std::vector<protocol::PeerUpdate> updates;
        {
            const std::lock_guard lock(this->mutex);
            const state::Instant now = monotonicNow();
            std::vector<CrashReport> reports = this->quarantine.reportsOfBlocks(now);
            std::ranges::shuffle(reports, this->random);
            reports.resize(std::min(reports.size(), maximumRepeatedReports));
            for (CrashReport &report : reports)
                updates.emplace_back(std::move(report));
            for (TrialStarted &trial : this->quarantine.trialsOfBlocks(now))
                updates.emplace_back(std::move(trial));
            for (PartCleared &cleared : this->quarantine.recentlyCleared(now))
                updates.emplace_back(std::move(cleared));
        }
        if (!updates.empty())
            this->hooks.shareWithSome(std::move(updates));
    }
}

std::optional<RequestRefusal> RequestGuard::refusal(const ServiceName &service,
                                                    const std::vector<RequestPart> &parts) const
{
    if (!this->hasSuspects || parts.empty())
        return std::nullopt;
    const std::lock_guard lock(this->mutex);
    return toRefusal(this->quarantine.decide(service, parts, monotonicNow()));
}

std::optional<RequestRefusal> RequestGuard::refusalBeforeSend(const state::RequestId &request,
                                                              const ServiceName &service,
                                                              const std::vector<RequestPart> &parts)
{
    if (!this->hasSuspects || parts.empty())
        return std::nullopt;
    TrialStarted trial;
    {
        const std::lock_guard lock(this->mutex);
        const state::Instant now = monotonicNow();
        const SendDecision decision = this->quarantine.decide(service, parts, now);
        if (decision.verdict != SendVerdict::SendAsTrial)
            return toRefusal(decision);
        trial = this->quarantine.startTrial(*decision.block, now);
    }
    this->hooks.share(trial);
    logEvent(LogLevel::Warning, "quarantine.trial",
             {{"request", request.value()},
              {"service", service.value()},
              {"parts", state::formatRequestParts(parts)},
              {"count", trial.count}});
    return std::nullopt;
}

asio::awaitable<void> RequestGuard::attemptLost(state::EndpointDescription endpoint,
                                                std::vector<RequestPart> parts,
                                                state::Instant sentAt, state::Instant firstEventAt)
{
    if (hasSurvived(firstEventAt))
        co_return;
    {
        const std::lock_guard lock(this->mutex);
        parts = this->answers.withoutAnswered(endpoint.service, std::move(parts), monotonicNow());
    }
    if (parts.empty())
        co_return;
    CrashReport report;
    report.service = endpoint.service;
    report.crash = {endpoint.id, endpoint.incarnation};
    report.parts = std::move(parts);
    report.parts.resize(std::min(report.parts.size(), CrashReport::maximumParts));
    report.hasBegun = firstEventAt != state::Instant{};
    const state::Instant lostAt = monotonicNow();
    // A reset of one connection, or an answer that was cut short, is no crash.
    if (!this->isKnownCrash(report.crash)) {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        const transport::PortState port =
                co_await transport::probePort(executor, endpoint.address, portProbeTime);
        if (port != transport::PortState::Closed)
            co_return;
    }
    const state::Instant now = monotonicNow();
    report.ageUs = (now - lostAt).count();
    report.sentAgeUs = (now - sentAt).count();
    {
        const std::lock_guard lock(this->mutex);
        if (this->quarantine.apply(report, now) != ReportResult::New)
            co_return;
        this->noteChange();
    }
    this->hooks.share(report);
    logReport(LogLevel::Info, report, "attempt");
}

bool RequestGuard::isKnownCrash(const CrashId &crash) const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.knows(crash);
}

void RequestGuard::answerContinues(const ServiceName &service,
                                   const std::vector<RequestPart> &parts,
                                   state::Instant firstEventAt)
{
    if (this->hasSuspects && hasSurvived(firstEventAt))
        this->answerSurvived(service, parts);
}

void RequestGuard::answerSurvived(const ServiceName &service, const std::vector<RequestPart> &parts)
{
    std::vector<PartCleared> cleared;
    {
        const std::lock_guard lock(this->mutex);
        this->answers.record(service, parts, monotonicNow());
        cleared = this->quarantine.answerSurvived(service, parts, monotonicNow());
        if (!cleared.empty())
            this->noteChange();
    }
    for (const PartCleared &each : cleared) {
        this->hooks.share(each);
        logCleared(LogLevel::Info, each, "answer");
    }
}

asio::awaitable<void> RequestGuard::connectionEnded(state::EndpointDescription endpoint,
                                                    std::vector<RequestPart> parts)
{
    if (!this->isSuspect(endpoint.service, parts)) {
        const std::lock_guard lock(this->mutex);
        this->answers.record(endpoint.service, parts, monotonicNow());
        co_return;
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const transport::PortState port =
            co_await transport::probePort(executor, endpoint.address, portProbeTime);
    if (port == transport::PortState::Open)
        this->answerSurvived(endpoint.service, parts);
}

bool RequestGuard::isSuspect(const ServiceName &service,
                             const std::vector<RequestPart> &parts) const
{
    if (!this->hasSuspects)
        return false;
    const std::lock_guard lock(this->mutex);
    return this->quarantine.suspects(service, parts);
}

bool RequestGuard::mayRepeat(const ServiceName &service,
                             const std::vector<RequestPart> &parts) const
{
    if (!this->hasSuspects || parts.empty())
        return true;
    const std::lock_guard lock(this->mutex);
    return this->quarantine.mayRepeat(service, parts);
}

std::size_t RequestGuard::blockCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->quarantine.blocks().size();
}

void RequestGuard::peerReported(const CrashReport &report)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->quarantine.apply(report, monotonicNow()) != ReportResult::New)
            return;
        this->noteChange();
    }
    logReport(LogLevel::Debug, report, "peer");
}

void RequestGuard::peerCleared(const PartCleared &cleared)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->quarantine.apply(cleared, monotonicNow()))
            return;
        this->noteChange();
    }
    logCleared(LogLevel::Debug, cleared, "peer");
}

void RequestGuard::peerStartedTrial(const TrialStarted &trial)
{
    const std::lock_guard lock(this->mutex);
    this->quarantine.apply(trial, monotonicNow());
}

void RequestGuard::noteChange()
{
    this->hasSuspects = this->quarantine.hasSuspects();
    const Blocks &now = this->quarantine.blocks();
    const auto isIn = [](const Blocks &blocks, const Block &wanted) {
        return std::ranges::any_of(blocks, [&](const Block &each) {
            return each.service == wanted.service && each.parts == wanted.parts;
        });
    };
    for (const Block &block : now) {
        if (!isIn(this->loggedBlocks, block))
            logBlock("quarantine.blocked", block);
    }
    for (const Block &block : this->loggedBlocks) {
        if (!isIn(now, block))
            logBlock("quarantine.released", block);
    }
    this->loggedBlocks = now;
}

} // namespace lavenderthread::program
