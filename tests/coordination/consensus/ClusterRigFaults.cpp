// Clients, operators, faults and checks of the rig.
#include "ClusterRig.h"

#include <algorithm>

namespace lavenderthread::coordination::consensus {

namespace {

constexpr std::int64_t millisecond = 1000;
constexpr std::uint64_t keys = 30;
constexpr std::size_t maximumLostDisks = 3;

} // namespace

void ClusterRig::propose()
{
    if (this->faultsEnded || this->now < this->quietUntil)
        return;
    const std::size_t first = this->number(0, this->nodes.size() - 1);
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        const Node &node = this->nodes[index];
        const bool leads = node.machine && node.machine->currentRole() == Role::Leader;
        if (leads || index == first)
            this->proposeTo(index);
    }
}

// Clients retry: several proposals with different names claim the same key, at any member.
void ClusterRig::proposeTo(std::size_t index)
{
    Propose propose;
    for (std::uint64_t left = this->number(1, 3); left > 0; --left) {
        const ProposalId id = this->nextId++;
        const std::string payload =
                "key" + std::to_string(this->number(1, keys)) + " c" + std::to_string(id);
        this->proposed[id] = payload;
        propose.proposals.push_back({id, payload});
    }
    this->handleEvent(index, propose);
}

void ClusterRig::requestReads()
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        const ReadId id = this->nextId++;
        this->minimumReadIndex[id] = this->acknowledgedIndex;
        this->handleEvent(index,
                          Read{id, this->chance(500) ? ReadKind::Lease : ReadKind::QuorumRound});
    }
}

// The operators' loop: every member that leads proposes the next single change towards the target
// set.
void ClusterRig::runOperators()
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        Node &node = this->nodes[index];
        if (!node.machine || node.machine->currentRole() != Role::Leader)
            continue;
        const std::optional<MemberChange> change =
                nextMemberChange(node.machine->members(), this->target,
                                 node.machine->caughtUpLearners(this->localTime(node, this->now)));
        if (change)
            this->handleEvent(index, ProposeChange{this->nextId++, *change});
    }
}

bool ClusterRig::repaired() const
{
    return this->committedMembers == this->target;
}

void ClusterRig::injectFault()
{
    if (this->faultsEnded)
        return;
    const std::size_t index = this->number(0, this->nodes.size() - 1);
    Node &node = this->nodes[index];
    const std::uint64_t kind = this->number(0, 99);
    if (this->secondLossDue && this->repaired()) {
        this->secondLossDue = false;
        this->loseDisk(index);
    } else if (kind < 12) {
        this->crash(index);
        this->scheduleAt(this->now + static_cast<GlobalTime>(this->number(5, 300)) * millisecond,
                         [this, index] { this->start(index); });
    } else if (kind < 18) {
        for (std::size_t each = 0; each < this->nodes.size(); ++each) {
            this->crash(each);
            this->start(each);
        }
    } else if (kind < 30) {
        this->isolate(index, this->number(50, 900) * millisecond);
    } else if (kind < 36) {
        node.pausedUntil = this->now + static_cast<GlobalTime>(this->number(10, 500)) * millisecond;
    } else if (kind < 53) {
        this->loseDisk(index);
    } else if (kind < 64) {
        this->cutLink(index, this->number(0, this->nodes.size() - 1));
    } else if (kind < 80) {
        this->isolateLeaderGradually();
    }
}

// Isolates the leader gradually: one member loses contact first and campaigns while the others
// still have recent contact. Clients are paused, so that no member's log is ahead of another's.
void ClusterRig::isolateLeaderGradually()
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        const Node &node = this->nodes[index];
        if (!node.machine || !node.machine->holdsLease(this->localTime(node, this->now)))
            continue;
        this->quietUntil = this->now + 400 * millisecond;
        this->cutLink(index, this->number(0, this->nodes.size() - 1));
        this->scheduleAt(
                this->now + static_cast<GlobalTime>(this->number(60, 220)) * millisecond,
                [this, index] { this->isolate(index, this->number(50, 400) * millisecond); });
    }
}

// Blocks both directions, or only one.
void ClusterRig::isolate(std::size_t index, std::uint64_t duration)
{
    if (this->faultsEnded)
        return;
    const bool both = this->chance(600);
    this->nodes[index].receiveBlocked = both || this->chance(500);
    this->nodes[index].sendBlocked = both || !this->nodes[index].receiveBlocked;
    this->scheduleAt(this->now + static_cast<GlobalTime>(duration), [this, index] {
        this->nodes[index].receiveBlocked = false;
        this->nodes[index].sendBlocked = false;
    });
}

void ClusterRig::cutLink(std::size_t index, std::size_t other)
{
    const std::pair<state::VmId, state::VmId> link{this->nodes[index].id, this->nodes[other].id};
    this->cutLinks.insert(link);
    this->scheduleAt(this->now + static_cast<GlobalTime>(this->number(50, 600)) * millisecond,
                     [this, link] { this->cutLinks.erase(link); });
}

// Loses a disk only while the committed member set equals the target: one lost disk is then always
// survivable, and the next may be lost as soon as the repair is committed.
void ClusterRig::loseDisk(std::size_t index)
{
    Node &node = this->nodes[index];
    if (!this->repaired() || node.diskLost || this->target.find(node.id) == nullptr
        || this->count.lostDisks >= maximumLostDisks)
        return;
    // Some are planned replacements: the old member keeps running, may lead, and learns late that
    // it was removed.
    const bool planned = this->mutation == Mutation::None && this->chance(250);
    this->secondLossDue = this->chance(700);
    if (planned) {
        ++this->count.plannedReplacements;
    } else {
        ++this->count.lostDisks;
        this->crash(index);
    }
    if (this->mutation == Mutation::SameIdAfterLoss) {
        node.disk = StoredState{};
        node.disk.snapshot.configuration = this->target.encode();
        this->start(index);
        return;
    }
    node.diskLost = !planned;
    const std::size_t replacement = this->addNode("vm" + std::to_string(this->nodes.size()) + ".2");
    std::vector<Member> wanted;
    for (const Member &member : this->target.all()) {
        const bool lost = member.id == this->nodes[index].id;
        wanted.push_back(lost ? Member{this->nodes[replacement].id, member.address, member.role}
                              : member);
    }
    this->target = MemberSet::create(wanted).value();
    this->start(replacement);
}

void ClusterRig::heal()
{
    this->faultsEnded = true;
    this->cutLinks.clear();
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        Node &node = this->nodes[index];
        node.receiveBlocked = node.sendBlocked = false;
        node.pausedUntil = 0;
        this->start(index);
    }
}

void ClusterRig::apply(Node &node, const Actions &actions)
{
    if (actions.restore) {
        ++this->count.snapshotsReceived;
        if (actions.restore->last.index <= node.applied)
            this->fail(node.id.value() + " restored a snapshot that is not newer than its state");
        node.applied = actions.restore->last.index;
        node.claims.clear();
        std::istringstream lines(actions.restore->bytes);
        for (std::string key, winner; lines >> key >> winner;)
            node.claims[key] = winner;
    }
    for (const state::log::LogEntry &entry : actions.committed) {
        if (entry.position.index != ++node.applied)
            this->fail(node.id.value() + " applied an entry out of order");
        const auto [known, first] = this->history.emplace(entry.position.index, entry);
        if (known->second != entry)
            this->fail("committed entry " + std::to_string(entry.position.index)
                       + " changed after it was first applied");
        if (entry.kind == state::log::LogEntryKind::Configuration && first) {
            ++this->count.memberChanges;
            this->committedMembers = MemberSet::decode(entry.payload).value();
        }
        if (entry.kind != state::log::LogEntryKind::Command)
            continue;
        const std::size_t separator = entry.payload.find(' ');
        node.claims.emplace(entry.payload.substr(0, separator),
                            entry.payload.substr(separator + 1));
    }
}

void ClusterRig::checkAnswers(const Node &node, const Actions &actions)
{
    for (const ProposalAnswer &answer : actions.answers) {
        if (answer.outcome != ProposalOutcome::Committed)
            continue;
        ++this->count.acknowledged;
        this->acknowledgedIndex = std::max(this->acknowledgedIndex, answer.position.index);
        const auto payload = this->proposed.find(answer.id);
        if (payload == this->proposed.end())
            continue; // a member change
        const auto known = this->history.find(answer.position.index);
        if (known == this->history.end() || known->second.payload != payload->second)
            this->fail("acknowledged entry differs from the committed entry");
        const std::string key = payload->second.substr(0, payload->second.find(' '));
        const auto [acknowledged, first] =
                this->acknowledgedWinners.emplace(key, node.claims.at(key));
        if (acknowledged->second != node.claims.at(key))
            this->fail(key + " acknowledged with two winners: " + acknowledged->second + ", "
                       + node.claims.at(key));
        if (this->lastProbe && this->faultsEnded)
            ++this->probesCommitted;
    }
    for (const ReadAnswer &answer : actions.reads) {
        this->count.reads += answer.confirmed ? 1 : 0;
        if (answer.confirmed && node.applied < this->minimumReadIndex[answer.id])
            this->fail("read at " + node.id.value() + " misses an acknowledged change");
    }
}

void ClusterRig::checkLeases()
{
    std::string holders;
    unsigned holding = 0;
    for (const Node &node : this->nodes) {
        if (node.machine && node.machine->holdsLease(this->localTime(node, this->now))) {
            ++holding;
            holders += ' ' + node.id.value();
        }
    }
    if (holding > 1)
        this->fail("several leaders hold a lease at once:" + holders);
}

void ClusterRig::checkEnd()
{
    if (this->probesCommitted == 0)
        this->fail("no progress after the faults ended");
    if (!this->repaired())
        this->fail("repair not finished after the faults ended: "
                   + this->committedMembers.encode());
    for (const Node &node : this->nodes) {
        if (node.diskLost || this->target.find(node.id) == nullptr)
            continue;
        if (node.applied < this->acknowledgedIndex)
            this->fail(node.id.value() + " misses acknowledged changes after the faults ended");
        for (const auto &[key, winner] : this->acknowledgedWinners) {
            const auto found = node.claims.find(key);
            if (found == node.claims.end() || found->second != winner)
                this->fail(key + " differs from the acknowledged winner at " + node.id.value());
        }
    }
}

void ClusterRig::fail(const std::string &what)
{
    if (!this->violation)
        this->violation = "t=" + std::to_string(this->now / millisecond) + "ms " + what;
}

} // namespace lavenderthread::coordination::consensus
