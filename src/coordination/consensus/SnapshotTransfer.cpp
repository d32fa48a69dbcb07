// Snapshot transfer to a member that needs entries the leader has already compacted: chunks of
// bounded size, each acknowledged before the next is sent.
#include "coordination/consensus/Consensus.h"

#include <utility>

namespace lavenderthread::coordination::consensus {

using state::log::LogSnapshot;

void Consensus::sendSnapshotChunk(const state::VmId &peer, Progress &peerProgress)
{
    if (peerProgress.mode != ProgressMode::Snapshot) {
        peerProgress.mode = ProgressMode::Snapshot;
        peerProgress.snapshot = this->latestSnapshot;
        peerProgress.snapshotOffset = 0;
        peerProgress.awaitedStamp = this->now.time_since_epoch().count();
    }
    const LogSnapshot &snapshot = *peerProgress.snapshot;
    SnapshotChunk chunk;
    chunk.term = this->hardState.currentTerm;
    chunk.last = snapshot.last;
    chunk.configuration = snapshot.configuration;
    chunk.totalBytes = snapshot.bytes.size();
    chunk.offset = peerProgress.snapshotOffset;
    chunk.bytes =
            snapshot.bytes.substr(peerProgress.snapshotOffset, this->settings.snapshotChunkBytes);
    chunk.stamp = this->now.time_since_epoch().count();
    peerProgress.chunkSentAt = this->now;
    this->send(peer, std::move(chunk));
}

void Consensus::handle(const state::VmId &from, const SnapshotChunk &chunk)
{
    const std::uint64_t current = this->hardState.currentTerm;
    if (chunk.term < current) {
        this->sendWhenPersisted(from, SnapshotResponse{current, chunk.last, 0, false, chunk.stamp});
        return;
    }
    if (chunk.term == current && this->role == Role::Leader)
        return;
    this->onLeaderContact(from, chunk.term);
    SnapshotResponse response{chunk.term, chunk.last, 0, false, chunk.stamp};
    state::Result<MemberSet> members = MemberSet::decode(chunk.configuration);
    if (members.has_error() || chunk.totalBytes > this->settings.maximumSnapshotBytes)
        return;
    if (this->log.contains(chunk.last) || chunk.last.index <= this->commit) {
        this->commit = std::max(this->commit, chunk.last.index);
        this->incomingSnapshot.reset();
        response.installed = true;
        this->sendWhenPersisted(from, response);
        this->applyCommitted();
        return;
    }
    const bool isNewTransfer = !this->incomingSnapshot
                               || this->incomingSnapshot->snapshot.last != chunk.last
                               || this->incomingSnapshot->totalBytes != chunk.totalBytes;
    if (isNewTransfer)
        this->incomingSnapshot =
                IncomingSnapshot{{chunk.last, chunk.configuration, {}}, chunk.totalBytes};
    std::string &bytes = this->incomingSnapshot->snapshot.bytes;
    if (chunk.offset == bytes.size() && chunk.bytes.size() <= chunk.totalBytes - bytes.size())
        bytes += chunk.bytes;
    response.nextOffset = bytes.size();
    if (bytes.size() == chunk.totalBytes) {
        this->installSnapshot(*std::exchange(this->incomingSnapshot, std::nullopt),
                              members.value());
        response.installed = true;
    }
    this->sendWhenPersisted(from, response);
}

void Consensus::installSnapshot(IncomingSnapshot complete, const MemberSet &members)
{
    auto snapshot = std::make_shared<const LogSnapshot>(std::move(complete.snapshot));
    // No later entry is kept: the log conflicts with the snapshot at its last position, so no entry
    // after that position can be committed.
    this->truncateFrom(this->log.startPosition().index + 1);
    this->log = MemoryLog(snapshot->last);
    this->configurations = {{snapshot->last.index, members}};
    this->commit = snapshot->last.index;
    this->persisted = 0;
    for (Write &write : this->writes)
        write.last = 0;
    this->latestSnapshot = snapshot;
    this->pendingRestore = snapshot;
    this->assignWriteSequence();
    this->actions.snapshot = snapshot;
}

void Consensus::handle(const state::VmId &from, const SnapshotResponse &response)
{
    Progress *responder = this->progressForResponse(from, response.term, response.stamp);
    if (responder == nullptr)
        return;
    Progress &peerProgress = *responder;
    if (peerProgress.mode != ProgressMode::Snapshot || peerProgress.snapshot->last != response.last)
        return;
    if (response.installed) {
        peerProgress.match = std::max(peerProgress.match, response.last.index);
        peerProgress.next = peerProgress.match + 1;
        peerProgress.mode = ProgressMode::Replicate;
        peerProgress.snapshot = nullptr;
        this->advanceCommit();
        this->applyCommitted();
        if (this->role == Role::Leader)
            this->sendAppend(from, peerProgress, false);
        return;
    }
    // A duplicated response is ignored. A receiver that restarted the transfer reports a smaller
    // offset in a response to the current chunk.
    const bool restarted = response.nextOffset < peerProgress.snapshotOffset
                           && response.stamp >= peerProgress.awaitedStamp;
    if (response.nextOffset <= peerProgress.snapshotOffset && !restarted)
        return;
    if (response.nextOffset >= peerProgress.snapshot->bytes.size() && !restarted)
        return;
    peerProgress.snapshotOffset = response.nextOffset;
    peerProgress.awaitedStamp = this->now.time_since_epoch().count();
    this->sendSnapshotChunk(from, peerProgress);
}

} // namespace lavenderthread::coordination::consensus
