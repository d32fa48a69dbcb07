#include "Ledger.h"

#include <algorithm>

namespace lavenderthread::soak {

std::string expectedBody(const std::string &requestId)
{
    return "{\"answer-to\":\"" + requestId + "\"}";
}

std::string expectedEvent(const std::string &requestId, std::uint64_t event)
{
    return "id: " + std::to_string(event) + "\ndata: " + requestId + "-" + std::to_string(event)
           + "\n\n";
}

void Ledger::ran(const std::string &requestId, bool repeatable)
{
    if (!repeatable && ++this->runs[requestId] == 2)
        this->broken("request " + requestId + " may run once and ran twice");
}

void Ledger::toldNotRun(const std::string &requestId, bool repeatable)
{
    ++this->refusals;
    if (!repeatable)
        this->notRun.insert(requestId);
}

void Ledger::ended(const std::string &kind)
{
    ++this->otherEnds[kind];
}

void Ledger::broken(const std::string &what)
{
    constexpr std::size_t most = 50;
    if (this->problems.size() < most)
        this->problems.push_back(what);
}

void Ledger::acknowledged(std::uint64_t version)
{
    this->acknowledgedVersion = std::max(this->acknowledgedVersion, version);
}

void Ledger::readBack(std::uint64_t version, std::uint64_t acknowledgedBeforeAsked)
{
    ++this->reads;
    if (version < acknowledgedBeforeAsked)
        this->broken("version " + std::to_string(version) + " was read after "
                     + std::to_string(acknowledgedBeforeAsked) + " had been acknowledged");
}

void Ledger::close()
{
    for (const std::string &id : this->notRun) {
        if (this->runs.contains(id))
            this->broken("request " + id + " was answered \"not run\" and ran");
    }
}

std::uint64_t Ledger::answerCount() const
{
    std::uint64_t all = this->successes + this->refusals;
    for (const auto &[kind, count] : this->otherEnds)
        all += count;
    return all;
}

std::string Ledger::summary() const
{
    std::string text = "succeeded=" + std::to_string(this->successes)
                       + " refused=" + std::to_string(this->refusals)
                       + " configuration=" + std::to_string(this->acknowledgedVersion)
                       + " reads=" + std::to_string(this->reads);
    for (const auto &[kind, count] : this->otherEnds)
        text += " " + kind + "=" + std::to_string(count);
    return text;
}

} // namespace lavenderthread::soak
