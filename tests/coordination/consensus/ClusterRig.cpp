// Simulation part of the rig: time, network, disks and processes.
#include "ClusterRig.h"

#include <algorithm>

namespace lavenderthread::coordination::consensus {

namespace {

constexpr std::int64_t millisecond = 1000;
constexpr std::int64_t faultsEnd = 1500 * millisecond;
constexpr std::int64_t probesStart = 2200 * millisecond;
constexpr std::int64_t runEnds = 2700 * millisecond;

Settings smallSettings()
{
    Settings small;
    small.heartbeatInterval = std::chrono::milliseconds(30);
    small.electionTimeout = std::chrono::milliseconds(120);
    small.diskStallTimeout = std::chrono::milliseconds(200);
    small.clockDriftPerMille = 50;
    small.maximumBatchEntries = 4;
    small.maximumInFlightEntries = 12;
    small.maximumUncommitted = 40;
    small.snapshotChunkBytes = 100;
    small.compactionEntries = 24;
    small.trailingEntries = 6;
    return small;
}

} // namespace

ClusterRig::ClusterRig(std::uint64_t seed, Mutation chosenMutation)
    : mutation(chosenMutation)
    , random(seed)
    , settings(smallSettings())
{
    this->lossPerMille = static_cast<unsigned>(this->number(0, 1) * this->number(0, 120));
    this->delayOrDuplicatePerMille = static_cast<unsigned>(this->number(0, 60));
    const std::size_t size = this->chance(200) ? 5 : 3;
    std::vector<Member> members;
    for (std::size_t index = 0; index < size; ++index) {
        this->addNode("vm" + std::to_string(index) + ".1");
        members.push_back({this->nodes.back().id, {"10.0.0.1", 1}, MemberRole::Voter});
    }
    this->target = MemberSet::create(members).value();
    this->committedMembers = this->target;
    for (std::size_t index = 0; index < size; ++index) {
        this->nodes[index].disk.snapshot.configuration = this->target.encode();
        this->start(index);
    }
}

std::optional<std::string> ClusterRig::run()
{
    this->scheduleEvery(12 * millisecond, [this] { this->propose(); });
    this->scheduleEvery(25 * millisecond, [this] { this->requestReads(); });
    this->scheduleEvery(40 * millisecond, [this] { this->runOperators(); });
    this->scheduleEvery(60 * millisecond, [this] { this->injectFault(); });
    this->scheduleAt(faultsEnd, [this] { this->heal(); });
    for (std::int64_t time = probesStart; time < runEnds - 200 * millisecond;
         time += 50 * millisecond) {
        this->scheduleAt(time, [this] {
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                this->lastProbe = this->nextId;
                this->proposeTo(index);
            }
        });
    }
    while (!this->violation && !this->queue.empty() && this->queue.top().time < runEnds) {
        const Step step = this->queue.top();
        this->queue.pop();
        this->now = step.time;
        ++this->count.events;
        step.run();
        this->checkLeases();
    }
    if (!this->violation)
        this->checkEnd();
    return this->violation;
}

void ClusterRig::scheduleAt(GlobalTime time, std::function<void()> work)
{
    this->queue.push({time, ++this->order, std::move(work)});
}

void ClusterRig::scheduleEvery(GlobalTime period, const std::function<void()> &work)
{
    this->scheduleAt(this->now + period, [this, period, work] {
        work();
        this->scheduleEvery(period, work);
    });
}

state::Instant ClusterRig::localTime(const Node &node, GlobalTime time) const
{
    return state::Instant(
            state::Duration(node.clockOffset + time + time * node.driftPerMille / 1000));
}

ClusterRig::GlobalTime ClusterRig::trueTime(const Node &node, state::Instant local) const
{
    const std::int64_t elapsed = local.time_since_epoch().count() - node.clockOffset;
    return elapsed * 1000 / (1000 + node.driftPerMille) + 1;
}

void ClusterRig::slowClock(Node &node) const
{
    constexpr std::int64_t slow = -700;
    // Keeps the local time continuous.
    node.clockOffset += this->now * (node.driftPerMille - slow) / 1000;
    node.driftPerMille = slow;
}

std::size_t ClusterRig::addNode(const std::string &name)
{
    Node node;
    node.id = state::VmId(name);
    node.clockOffset = static_cast<std::int64_t>(this->number(0, 1'000'000'000));
    const auto bound = static_cast<std::int64_t>(this->settings.clockDriftPerMille);
    node.driftPerMille = this->chance(500) ? bound : -bound;
    this->nodes.push_back(std::move(node));
    return this->nodes.size() - 1;
}

void ClusterRig::start(std::size_t index)
{
    Node &node = this->nodes[index];
    if (node.machine || node.diskLost)
        return;
    state::Result<Consensus> machine = Consensus::create(
            this->settings, node.id, node.disk, this->random(), this->localTime(node, this->now));
    if (machine.has_error()) {
        this->fail("start failed: " + machine.error().describe());
        return;
    }
    node.machine = std::move(machine).value();
    node.applied = node.disk.snapshot.last.index;
    node.claims.clear();
    std::istringstream lines(node.disk.snapshot.bytes);
    for (std::string key, winner; lines >> key >> winner;)
        node.claims[key] = winner;
    node.timerAt = -1;
    this->armTimer(index);
}

// Of the unsynced writes, a random prefix in write order survives.
void ClusterRig::crash(std::size_t index)
{
    Node &node = this->nodes[index];
    if (!node.machine)
        return;
    ++this->count.crashes;
    ++node.incarnation;
    const std::uint64_t survive = this->number(0, node.unsynced.size());
    for (std::uint64_t write = 0; write < survive; ++write)
        store(node.disk, node.unsynced[write]);
    node.unsynced.clear();
    node.syncUnderWay = false;
    node.machine.reset();
}

void ClusterRig::handleEvent(std::size_t index, const Event &event)
{
    Node &node = this->nodes[index];
    if (!node.machine || this->violation)
        return;
    if (this->now < node.pausedUntil) {
        this->scheduleAt(node.pausedUntil, [this, index, event, incarnation = node.incarnation] {
            if (this->nodes[index].incarnation == incarnation)
                this->handleEvent(index, event);
        });
        return;
    }
    state::Instant local = this->localTime(node, this->now);
    const auto *received = std::get_if<Received>(&event);
    if (this->mutation == Mutation::VoteWithinLease && received != nullptr
        && std::holds_alternative<VoteRequest>(received->message.body))
        local += this->settings.electionTimeout;
    this->performActions(index, node.machine->step(event, local));
    this->armTimer(index);
}

void ClusterRig::armTimer(std::size_t index)
{
    Node &node = this->nodes[index];
    if (!node.machine)
        return;
    const state::Instant due = node.machine->nextTimer();
    if (due == state::Instant::max())
        return;
    const GlobalTime time = std::max(this->now + 1, this->trueTime(node, due));
    if (node.timerAt >= 0 && node.timerAt <= time)
        return;
    node.timerAt = time;
    this->scheduleAt(time, [this, index, time, incarnation = node.incarnation] {
        Node &armed = this->nodes[index];
        if (armed.incarnation != incarnation || armed.timerAt != time)
            return;
        armed.timerAt = -1;
        this->handleEvent(index, Tick{}); // arms the next timer, also if a pause delays this tick
    });
}

void ClusterRig::performActions(std::size_t index, Actions actions)
{
    Node &node = this->nodes[index];
    const std::uint64_t sequence = actions.persistSequence;
    if (sequence != 0) {
        node.unsynced.push_back({sequence, actions.hardState, actions.snapshot, actions.entries});
        this->startSync(index);
    }
    for (const Message &message : actions.messages)
        this->transmit(message);
    this->apply(node, actions);
    this->checkAnswers(node, actions);
    if (actions.roleChange && actions.roleChange->role == Role::Leader) {
        ++this->count.leaders;
        if (this->mutation == Mutation::SlowLeaderClock)
            this->slowClock(node);
    }
    if (actions.roleChange && actions.roleChange->role == Role::Stopped) {
        if (actions.roleChange->error->code != state::ErrorCode::StorageFailed)
            this->fail(node.id.value() + " stopped: " + actions.roleChange->error->describe());
        this->crash(index);
        return;
    }
    if (actions.snapshotRequest)
        this->takeSnapshot(index, *actions.snapshotRequest);
    if (sequence != 0 && this->mutation == Mutation::AnswerBeforeSync)
        this->handleEvent(index, Persisted{sequence});
}

void ClusterRig::startSync(std::size_t index)
{
    Node &node = this->nodes[index];
    if (node.syncUnderWay || node.unsynced.empty())
        return;
    node.syncUnderWay = true;
    const bool slow = !this->faultsEnded && this->chance(30);
    const auto syncTime = static_cast<GlobalTime>(slow ? this->number(20, 300) * millisecond
                                                       : this->number(200, 4000));
    this->scheduleAt(this->now + syncTime,
                     [this, index, incarnation = node.incarnation, writes = node.unsynced.size()] {
                         this->endSync(index, incarnation, writes);
                     });
}

void ClusterRig::endSync(std::size_t index, std::uint64_t incarnation, std::size_t writes)
{
    Node &node = this->nodes[index];
    if (node.incarnation != incarnation || !node.machine)
        return;
    if (!this->faultsEnded && this->chance(2)) {
        this->handleEvent(index,
                          PersistFailed{state::makeError(state::ErrorCode::StorageFailed, "sync",
                                                         "disk full", node.id.value())});
        return;
    }
    node.syncUnderWay = false;
    std::uint64_t done = 0;
    SnapshotPointer taken;
    for (std::size_t write = 0; write < writes; ++write) {
        const Write &front = node.unsynced.front();
        store(node.disk, front);
        done = std::max(done, front.sequence);
        if (front.sequence == 0)
            taken = front.snapshot;
        node.unsynced.pop_front();
    }
    this->startSync(index);
    if (taken)
        this->handleEvent(index, SnapshotTaken{taken});
    if (done != 0)
        this->handleEvent(index, Persisted{done});
}

void ClusterRig::store(StoredState &disk, const Write &write)
{
    const auto dropFrom = [&disk](std::uint64_t index) {
        std::erase_if(disk.entries, [index](const state::log::LogEntry &entry) {
            return entry.position.index >= index;
        });
    };
    if (write.hardState)
        disk.hardState = *write.hardState;
    if (write.snapshot) {
        disk.snapshot = *write.snapshot;
        if (write.sequence != 0)
            disk.entries.clear();
        std::erase_if(disk.entries, [&](const state::log::LogEntry &entry) {
            return entry.position.index <= disk.snapshot.last.index;
        });
    }
    if (!write.entries.empty()) {
        dropFrom(write.entries.front().position.index);
        disk.entries.insert(disk.entries.end(), write.entries.begin(), write.entries.end());
    }
}

void ClusterRig::takeSnapshot(std::size_t index, const SnapshotRequest &wanted)
{
    Node &node = this->nodes[index];
    state::log::LogSnapshot snapshot{wanted.last, wanted.configuration, {}};
    for (const auto &[key, winner] : node.claims)
        snapshot.bytes.append(key).append(" ").append(winner).append("\n");
    node.unsynced.push_back(
            {0, std::nullopt, std::make_shared<const state::log::LogSnapshot>(snapshot), {}});
    this->startSync(index);
}

void ClusterRig::transmit(const Message &message)
{
    const bool lost = !this->faultsEnded && this->chance(this->lossPerMille);
    const unsigned copies = lost ? 0
                            : !this->faultsEnded && this->chance(this->delayOrDuplicatePerMille)
                                    ? 2
                                    : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        std::uint64_t delay = this->number(500, 5000);
        if (!this->faultsEnded && this->chance(this->delayOrDuplicatePerMille))
            delay = this->number(1, this->chance(100) ? 900 : 150) * millisecond;
        this->scheduleAt(this->now + static_cast<GlobalTime>(delay),
                         [this, message] { this->deliver(message); });
    }
}

void ClusterRig::deliver(const Message &message)
{
    if (this->cutLinks.contains({message.from, message.to})
        || this->cutLinks.contains({message.to, message.from}))
        return;
    for (const Node &sender : this->nodes) {
        if (sender.id == message.from && sender.sendBlocked)
            return;
    }
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        const Node &node = this->nodes[index];
        if (node.id == message.to && !node.receiveBlocked)
            this->handleEvent(index, Received{message});
    }
}

} // namespace lavenderthread::coordination::consensus
