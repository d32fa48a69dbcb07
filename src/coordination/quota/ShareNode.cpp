// Exchanges reports and sums, and computes the weights from them.
#include "coordination/quota/ShareNode.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lavenderthread::coordination::quota {

using state::Duration;
using state::Instant;
using state::VmId;

namespace {

constexpr Duration minimumInterval = std::chrono::milliseconds(500);
// Limits a broker to about 40 reports per second for one key, however many entries report.
constexpr Duration intervalPerReporter = std::chrono::milliseconds(25);
constexpr int intervalsToExpiry = 3;
// A new backlog is reported with every tick at first, because an error then affects the next 30 s.
constexpr Duration fastStart = std::chrono::milliseconds(1'500);
constexpr Duration completeSumLifetime = std::chrono::seconds(30);
constexpr double weightUnit = 1'000; // thousandths in a report of the fleet's weight

Duration intervalFor(std::size_t reporters)
{
    return std::max<Duration>(minimumInterval, reporters * intervalPerReporter);
}

} // namespace

void ShareNode::setBacklog(QuotaKey key, std::uint32_t weight, Instant now)
{
    if (weight == 0) {
        this->localReports.erase(key);
        return;
    }
    LocalReport fresh;
    fresh.backlogSince = now;
    this->localReports.try_emplace(totalWeightKey, fresh);
    this->localReports.try_emplace(key, fresh).first->second.weight = weight;
}

std::vector<OutgoingShareMessage> ShareNode::tick(Instant now)
{
    std::map<VmId, ShareMessage> outbox;
    if (this->liveEntries.empty())
        return {};
    for (auto &[key, entry] : this->localReports) {
        if (now < entry.nextReport)
            continue;
        const bool inFastStart = now < entry.backlogSince + fastStart;
        entry.nextReport = now + (inFastStart ? Duration(0) : entry.interval);
        const ShareReport report{key, this->valueOf(key, entry)};
        const VmId &broker = this->brokerOf(key);
        if (broker == this->self)
            this->receiveSum(this->addReport(this->self, report, now), now);
        else
            outbox[broker].reports.push_back(report);
    }
    std::vector<OutgoingShareMessage> all;
    for (auto &[peer, message] : outbox) {
        message.from = this->self;
        all.push_back({peer, std::move(message)});
    }
    return all;
}

std::vector<OutgoingShareMessage> ShareNode::receive(const ShareMessage &message, Instant now)
{
    for (const ShareSum &sum : message.sums)
        this->receiveSum(sum, now);
    if (message.reports.empty())
        return {};
    ShareMessage answer;
    answer.from = this->self;
    for (const ShareReport &report : message.reports)
        answer.sums.push_back(this->addReport(message.from, report, now));
    return {{message.from, std::move(answer)}};
}

double ShareNode::localWeight(QuotaKey key) const
{
    const auto found = this->localReports.find(key);
    if (found == this->localReports.end())
        return 0;
    const auto others = std::max<std::uint64_t>(found->second.sum, 1);
    return static_cast<double>(found->second.weight) / static_cast<double>(others);
}

double ShareNode::fleetShare() const
{
    const auto found = this->localReports.find(totalWeightKey);
    if (found == this->localReports.end() || found->second.sum == 0)
        return this->liveEntries.empty() ? 1 : 1 / static_cast<double>(this->liveEntries.size());
    const double all = static_cast<double>(found->second.sum) / weightUnit;
    return std::min(1.0, this->waitingWeight() / all);
}

const VmId &ShareNode::brokerOf(QuotaKey key) const
{
    const auto score = [&](const VmId &entry) {
        return XXH64(entry.value().data(), entry.value().size(), ~key);
    };
    return *std::max_element(
            this->liveEntries.begin(), this->liveEntries.end(),
            [&](const VmId &left, const VmId &right) { return score(left) < score(right); });
}

std::uint32_t ShareNode::valueOf(QuotaKey key, const LocalReport &entry) const
{
    if (key == totalWeightKey)
        return static_cast<std::uint32_t>(this->waitingWeight() * weightUnit);
    return entry.weight > 0 ? 1 : 0;
}

double ShareNode::waitingWeight() const
{
    double sum = 0;
    for (const auto &[key, entry] : this->localReports)
        sum += key == totalWeightKey ? 0 : this->localWeight(key);
    return sum;
}

ShareSum ShareNode::addReport(const VmId &from, const ShareReport &report, Instant now)
{
    BrokerState &entry = this->brokerStates[report.key];
    std::erase_if(entry.contributions, [&](const auto &known) { return known.second.until < now; });
    if (entry.contributions.empty())
        entry.firstReportAt = now;
    const Duration interval = intervalFor(entry.contributions.size() + 1);
    entry.contributions[from] = {report.value, now + intervalsToExpiry * interval};
    ShareSum sum;
    sum.key = report.key;
    for (const auto &[reporter, contribution] : entry.contributions)
        sum.sum += contribution.value;
    sum.reporters = static_cast<std::uint16_t>(entry.contributions.size());
    // Every entry reports once per interval, so a new broker has all reports after two at most.
    sum.complete = now >= entry.firstReportAt + 2 * interval;
    return sum;
}

void ShareNode::receiveSum(const ShareSum &sum, Instant now)
{
    const auto found = this->localReports.find(sum.key);
    if (found == this->localReports.end())
        return;
    LocalReport &entry = found->second;
    entry.interval = intervalFor(sum.reporters);
    // A broker that just took over has few reports. Its sum would make each reporter claim nearly
    // the whole share; the last complete sum is closer.
    const bool known = entry.complete && now < entry.sumReceivedAt + completeSumLifetime;
    if (!sum.complete && known && sum.sum < entry.sum)
        return;
    entry.complete = sum.complete;
    entry.sum = sum.sum;
    entry.sumReceivedAt = now;
}

} // namespace lavenderthread::coordination::quota
