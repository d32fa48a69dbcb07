// What callers, endpoints and operators have seen, and the promises that it has to keep. One
// thread.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::soak {

// The answer that an endpoint gives to a request, so that anybody can tell whether it is whole.
std::string expectedBody(const std::string &requestId);
std::string expectedEvent(const std::string &requestId, std::uint64_t event);

class Ledger
{
public:
    // By endpoints.
    void ran(const std::string &requestId, bool repeatable);

    // By callers: the final answer to one request id.
    void succeeded() { ++this->successes; }
    void toldNotRun(const std::string &requestId, bool repeatable);
    void ended(const std::string &kind);  // any other end, by its kind
    void broken(const std::string &what); // a promise, as seen

    // By operators.
    void acknowledged(std::uint64_t version);
    void readBack(std::uint64_t version, std::uint64_t acknowledgedBeforeAsked);
    std::uint64_t newestAcknowledged() const { return this->acknowledgedVersion; }

    // Promises that show only at the end.
    void close();
    const std::vector<std::string> &violations() const { return this->problems; }
    std::uint64_t successCount() const { return this->successes; }
    std::uint64_t answerCount() const;
    std::string summary() const;

private:
    std::map<std::string, std::uint32_t> runs; // of requests that may run once only
    std::set<std::string> notRun;              // told so, and may run once only
    std::map<std::string, std::uint64_t> otherEnds;
    std::uint64_t successes = 0;
    std::uint64_t refusals = 0;
    std::uint64_t acknowledgedVersion = 0;
    std::uint64_t reads = 0;
    std::vector<std::string> problems;
};

} // namespace lavenderthread::soak
