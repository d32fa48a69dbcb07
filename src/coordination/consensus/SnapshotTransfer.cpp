// A snapshot on its way to a member that needs entries the leader does not hold any more: one
// bounded piece at a time, each answered before the next.
#include "coordination/consensus/Consensus.h"

#include <utility>

namespace lavenderthread::coordination::consensus {

using state::log::LogSnapshot;

void Consensus::sendSnapshotPiece(const state::VmId &peer, Progress &known)
{
    if (known.mode != ProgressMode::Snapshot) {
        known.mode = ProgressMode::Snapshot;
        known.snapshot = this->latestSnapshot;
        known.snapshotOffset = 0;
        known.waitingFor = this->now.time_since_epoch().count();
    }
    const LogSnapshot &snapshot = *known.snapshot;
    SnapshotPiece piece;
    piece.term = this->hardState.currentTerm;
    piece.last = snapshot.last;
    piece.configuration = snapshot.configuration;
    piece.totalBytes = snapshot.bytes.size();
    piece.offset = known.snapshotOffset;
    piece.bytes = snapshot.bytes.substr(known.snapshotOffset, this->settings.snapshotPieceBytes);
    piece.stamp = this->now.time_since_epoch().count();
    known.pieceSent = this->now;
    this->send(peer, std::move(piece));
}

void Consensus::handle(const state::VmId &from, const SnapshotPiece &piece)
{
    const std::uint64_t current = this->hardState.currentTerm;
    if (piece.term < current) {
        this->sendWhenPersisted(from, SnapshotResponse{current, piece.last, 0, false, piece.stamp});
        return;
    }
    if (piece.term == current && this->role == Role::Leader)
        return;
    this->hearLeader(from, piece.term);
    SnapshotResponse response{piece.term, piece.last, 0, false, piece.stamp};
    state::Result<MemberSet> members = MemberSet::decode(piece.configuration);
    if (members.has_error() || piece.totalBytes > this->settings.maximumSnapshotBytes)
        return;
    if (this->log.contains(piece.last) || piece.last.index <= this->commit) {
        this->commit = std::max(this->commit, piece.last.index);
        this->incoming.reset();
        response.installed = true;
        this->sendWhenPersisted(from, response);
        this->applyCommitted();
        return;
    }
    const bool another = !this->incoming || this->incoming->snapshot.last != piece.last
                         || this->incoming->totalBytes != piece.totalBytes;
    if (another)
        this->incoming = IncomingSnapshot{{piece.last, piece.configuration, {}}, piece.totalBytes};
    std::string &bytes = this->incoming->snapshot.bytes;
    if (piece.offset == bytes.size() && piece.bytes.size() <= piece.totalBytes - bytes.size())
        bytes += piece.bytes;
    response.nextOffset = bytes.size();
    if (bytes.size() == piece.totalBytes) {
        this->installSnapshot(*std::exchange(this->incoming, std::nullopt), members.value());
        response.installed = true;
    }
    this->sendWhenPersisted(from, response);
}

void Consensus::installSnapshot(IncomingSnapshot complete, const MemberSet &members)
{
    auto snapshot = std::make_shared<const LogSnapshot>(std::move(complete.snapshot));
    // No entry after it is of use: the log differs at its last position, so nothing behind that
    // place can be committed.
    this->truncateFrom(this->log.beginning().index + 1);
    this->log = MemoryLog(snapshot->last);
    this->configurations = {{snapshot->last.index, members}};
    this->commit = snapshot->last.index;
    this->persisted = 0;
    for (Write &write : this->writes)
        write.last = 0;
    this->latestSnapshot = snapshot;
    this->pendingRestore = snapshot;
    this->markPersist();
    this->actions.snapshot = snapshot;
}

void Consensus::handle(const state::VmId &from, const SnapshotResponse &response)
{
    Progress *answering = this->answering(from, response.term, response.stamp);
    if (answering == nullptr)
        return;
    Progress &known = *answering;
    if (known.mode != ProgressMode::Snapshot || known.snapshot->last != response.last)
        return;
    if (response.installed) {
        known.match = std::max(known.match, response.last.index);
        known.next = known.match + 1;
        known.mode = ProgressMode::Replicate;
        known.snapshot = nullptr;
        this->advanceCommit();
        this->applyCommitted();
        if (this->role == Role::Leader)
            this->sendAppend(from, known, false);
        return;
    }
    // A doubled answer moves nothing on; a receiver that started again says so in its newest one.
    const bool startsAgain =
            response.nextOffset < known.snapshotOffset && response.stamp >= known.waitingFor;
    if (response.nextOffset <= known.snapshotOffset && !startsAgain)
        return;
    if (response.nextOffset >= known.snapshot->bytes.size() && !startsAgain)
        return;
    known.snapshotOffset = response.nextOffset;
    known.waitingFor = this->now.time_since_epoch().count();
    this->sendSnapshotPiece(from, known);
}

} // namespace lavenderthread::coordination::consensus
