#include "program/RelayLog.h"

#include "program/Clock.h"
#include "program/Log.h"

#include <string>

namespace lavenderthread::program {

namespace {

std::string joinAddresses(const std::vector<state::Address> &addresses)
{
    std::string text;
    for (const state::Address &address : addresses)
        text += (text.empty() ? "" : ",") + address.toString();
    return text;
}

// Framing, declared and read bytes, how the answer ended, and whether the request was sent whole.
std::string formatAnswer(const RelayOutcome &outcome)
{
    const transport::AnswerReport &answer = outcome.answer;
    if (answer.framing == transport::AnswerFraming::None)
        return "none";
    const std::string declared =
            answer.declaredBytes ? std::to_string(*answer.declaredBytes) : std::string("-");
    return std::string(toString(answer.framing)) + "," + declared + ","
           + std::to_string(answer.bodyBytes) + "," + std::string(toString(answer.end)) + ","
           + (answer.requestSent ? "request-sent" : "request-unsent")
           + (answer.nextAnswer ? ",next-answer" : "")
           + (outcome.answerNamesRequest ? "" : ",no-request-id");
}

} // namespace

void countRelay(Metrics &metrics, const RelayOutcome &outcome)
{
    constexpr double microseconds = 1e6;
    if (!outcome.forPeer.empty()) {
        metrics.count("relay_for_peers_total{status=\"" + std::to_string(outcome.status) + "\"}");
        return; // the peer that took the request counts it
    }
    if (outcome.via.port != 0)
        metrics.count("relay_through_peers_total");
    const std::string route = "{route=\"" + outcome.route + "\"}";
    metrics.count("relay_requests_total{route=\"" + outcome.route + "\",status=\""
                  + std::to_string(outcome.status) + "\"}");
    if (outcome.attempts > 1)
        metrics.count("relay_retried_total" + route, outcome.attempts - 1);
    if (outcome.firstAnswer.count() > 0)
        metrics.observe("relay_first_answer_seconds" + route,
                        double(outcome.firstAnswer.count()) / microseconds);
    if (outcome.longestPause.count() > 0)
        metrics.observe("relay_longest_pause_seconds" + route,
                        double(outcome.longestPause.count()) / microseconds);
    metrics.observe("relay_total_seconds" + route, double(outcome.total.count()) / microseconds);
}

void countAnswer(Metrics &metrics, const transport::AnswerReport &answer)
{
    metrics.count("relay_answers_total{framing=\"" + std::string(toString(answer.framing))
                  + "\",end=\"" + std::string(toString(answer.end)) + "\"}");
    if (answer.nextAnswer)
        metrics.count("relay_next_answers_total");
}

void logRelay(const RelayOutcome &outcome)
{
    logEvent(LogLevel::Info, "relay.finished",
             {{"request", outcome.id.value()},
              {"route", outcome.route},
              {"account", outcome.account.value()},
              {"service", outcome.service.value()},
              {"endpoint", outcome.endpoint.value()},
              {"configuration", outcome.configuration},
              {"prompt_tokens", outcome.promptTokens},
              {"parts", state::formatRequestParts(outcome.promptParts)},
              {"status", outcome.status},
              {"whole", outcome.whole ? "yes" : "no"},
              {"attempts", outcome.attempts},
              {"address", outcome.address.toString()},
              {"helpers", joinAddresses(outcome.helpers)},
              {"via", outcome.via.port == 0 ? std::string() : outcome.via.toString()},
              {"for_peer", outcome.forPeer},
              {"resumed", outcome.resumed ? "yes" : "no"},
              {"first_us", std::int64_t(outcome.firstAnswer.count())},
              {"predicted_first_us", std::int64_t(outcome.predictedFirst.count())},
              {"longest_pause_us", std::int64_t(outcome.longestPause.count())},
              {"total_us", std::int64_t(outcome.total.count())},
              {"events", outcome.passedEvents},
              {"answer_status", outcome.answerStatus},
              {"answer", formatAnswer(outcome)},
              {"reason", outcome.reason}});
}

void logEndedAttempt(std::string_view event, const RelayOutcome &outcome,
                     const state::EndpointDescription &endpoint,
                     const std::vector<state::RequestPart> &parts, const AttemptProgress &progress)
{
    logEvent(LogLevel::Info, event,
             {{"request", outcome.id.value()},
              {"attempt", outcome.attempts},
              {"endpoint", endpoint.id.value()},
              {"incarnation", endpoint.incarnation},
              {"for_peer", outcome.forPeer},
              {"resumed", outcome.resumed ? "yes" : "no"},
              {"connection", progress.connectionEnded ? "ended" : "given-up"},
              {"events", progress.events},
              {"after_us", std::int64_t((monotonicNow() - progress.sentAt).count())},
              {"parts", state::formatRequestParts(parts)},
              {"answer_status", outcome.answerStatus},
              {"answer", formatAnswer(outcome)},
              {"cause", outcome.reason}});
}

void logSuspected(const state::EndpointDescription &replica, std::string_view cause)
{
    logEvent(LogLevel::Warning, "replica.suspected",
             {{"endpoint", replica.id.value()},
              {"address", replica.address.toString()},
              {"incarnation", replica.incarnation},
              {"cause", cause}});
}

void logFailedPeer(const RelayOutcome &outcome, std::string_view result,
                   const AttemptProgress &progress)
{
    logEvent(LogLevel::Info, "peer.failed",
             {{"request", outcome.id.value()},
              {"attempt", outcome.attempts},
              {"peer", outcome.via.toString()},
              {"result", result},
              {"after_us", std::int64_t((monotonicNow() - progress.sentAt).count())},
              {"cause", outcome.reason}});
}

} // namespace lavenderthread::program
