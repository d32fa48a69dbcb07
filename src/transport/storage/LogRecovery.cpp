// Every record but those of the last write was followed by a sync, and later records say so. So a
// bad record that a later one calls synced is damage; any other is what a crash leaves of a write.
#include "transport/storage/LogRecovery.h"

#include "transport/storage/File.h"
#include "transport/storage/FolderNames.h"
#include "transport/storage/SnapshotFile.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::transport::storage {

namespace {

using state::log::HardState;
using state::log::LogEntry;

state::Error damaged(const std::string &path, const std::string &what)
{
    return damageError("log.recover", path, what);
}

// Applies records in order to what the folder held before them.
class Replay
{
public:
    explicit Replay(Recovered &target)
        : target(target)
    {}

    // False if the record can't follow the ones before it.
    bool operator()(const SegmentStart &start)
    {
        const bool sameMember =
                this->target.identity.empty() || this->target.identity == start.identity;
        this->target.identity = start.identity;
        this->target.hardState = start.hardState;
        return sameMember && start.formatVersion <= logFormatVersion;
    }
    bool operator()(const LogEntry &entry)
    {
        this->dropFrom(entry.position.index);
        std::vector<LogEntry> &entries = this->target.entries;
        const bool follows =
                entries.empty() || entries.back().position.index + 1 == entry.position.index;
        entries.push_back(entry);
        return follows;
    }
    bool operator()(const HardState &hardState)
    {
        this->target.hardState = hardState;
        return true;
    }
    bool operator()(const Truncation &truncation)
    {
        this->dropFrom(truncation.fromIndex);
        return true;
    }
    bool operator()(const SyncMark &) { return true; }

private:
    void dropFrom(std::uint64_t index)
    {
        std::vector<LogEntry> &entries = this->target.entries;
        while (!entries.empty() && entries.back().position.index >= index)
            entries.pop_back();
    }

    Recovered &target;
};

std::uint64_t highestIndexOf(const std::vector<LogRecord> &records)
{
    std::uint64_t highest = 0;
    for (const LogRecord &record : records) {
        if (const auto *entry = std::get_if<LogEntry>(&record.body))
            highest = std::max(highest, entry->position.index);
    }
    return highest;
}

class FolderReader
{
public:
    FolderReader(const FileHooks &hooks, std::string folder)
        : hooks(hooks)
        , folder(std::move(folder))
        , replay(this->result.recovered)
    {}

    state::Result<RecoveredFolder> read()
    {
        BOOST_OUTCOME_TRY(this->result.recovered.snapshot,
                          readNewestSnapshot(this->hooks, this->folder));
        BOOST_OUTCOME_TRY(const std::vector<std::string> names,
                          listFolder(this->hooks, this->folder));
        for (const std::string &name : names) {
            if (name.ends_with(temporarySuffix))
                this->result.temporary.push_back(name);
        }
        const std::vector<std::uint64_t> numbers = numbersIn(names, segmentPrefix, segmentSuffix);
        for (const std::uint64_t number : numbers) {
            BOOST_OUTCOME_TRYV(this->readSegment(number));
        }
        if (!numbers.empty())
            this->result.nextSegment = numbers.back() + 1;
        if (this->result.segments.empty() && this->result.recovered.snapshot)
            return damaged(this->folder,
                           "there is a snapshot but no log; the member's vote is lost");
        BOOST_OUTCOME_TRYV(this->finishTail());
        BOOST_OUTCOME_TRYV(this->checkCompacted());
        BOOST_OUTCOME_TRYV(this->dropCoveredEntries());
        this->result.recovered.segmentsPassedOver = this->result.removable.size();
        return std::move(this->result);
    }

private:
    // The newest segment read so far. Only the last one may end in the torn part of a write.
    struct Tail
    {
        std::string path;
        SegmentScan scan;
    };

    state::Result<void> readSegment(std::uint64_t number)
    {
        const std::string path = segmentPath(this->folder, number);
        BOOST_OUTCOME_TRY(const std::string bytes, readWholeFile(this->hooks, path));
        SegmentScan scan = scanSegment(bytes);
        if (scan.records.empty() && scan.syncedThrough == 0) {
            // A new segment is used only after its start is synced: a crash came before that. Later
            // segments may follow, since a loss of power can bring its name back.
            this->result.removable.push_back(number);
            return state::outcome::success();
        }
        const auto *start = scan.records.empty()
                                    ? nullptr
                                    : std::get_if<SegmentStart>(&scan.records.front().body);
        if (start == nullptr || start->segment != number)
            return damaged(path, "the segment's start is missing");
        this->joinSegment(path, scan.records.front().number);
        if (this->result.segments.empty() && start->formatVersion >= lastIndexFormatVersion)
            this->precedingIndex = start->lastIndex;
        for (const LogRecord &record : scan.records) {
            if (!std::visit(this->replay, record.body))
                return damaged(path, "record " + std::to_string(record.number)
                                             + " does not follow the ones before it");
        }
        this->result.segments.push_back({number, highestIndexOf(scan.records)});
        this->result.nextRecord = scan.records.back().number + 1;
        this->tail = Tail{path, std::move(scan)};
        return state::outcome::success();
    }

    // Compaction removes several names, and a loss of power may leave any subset of them. What
    // stands before a gap can't be used; checkCompacted() tells whether it is needed.
    void joinSegment(const std::string &path, std::uint64_t firstRecord)
    {
        if (!this->tail)
            return;
        if (this->tail->scan.whole && firstRecord == this->result.nextRecord)
            return;
        this->gap = this->tail->scan.whole ? damaged(path, "the segment before this one is missing")
                                           : this->damagedTail();
        for (const SegmentSummary &segment : this->result.segments)
            this->result.removable.push_back(segment.segment);
        this->result.segments.clear();
        this->result.recovered.entries.clear();
        this->precedingIndex.reset();
    }

    // Everything before the oldest usable segment has to be in the snapshot.
    state::Result<void> checkCompacted() const
    {
        const Recovered &recovered = this->result.recovered;
        std::optional<std::uint64_t> needed = this->precedingIndex;
        if (!needed && !recovered.entries.empty())
            needed = recovered.entries.front().position.index - 1;
        const std::uint64_t covered = recovered.snapshot ? recovered.snapshot->last.index : 0;
        if (needed ? *needed <= covered : !this->gap)
            return state::outcome::success();
        return this->gap.value_or(damaged(this->folder, "entries are missing behind index "
                                                                + std::to_string(covered)));
    }

    state::Error damagedTail() const
    {
        return damaged(this->tail->path,
                       "record " + std::to_string(this->result.nextRecord) + " at byte "
                               + std::to_string(this->tail->scan.goodBytes) + " is damaged");
    }

    state::Result<void> finishTail()
    {
        if (!this->tail)
            return state::outcome::success();
        if (!this->tail->scan.whole && this->tail->scan.syncedThrough > this->result.nextRecord)
            return this->damagedTail();
        this->noteTail(std::move(this->tail->scan));
        return state::outcome::success();
    }

    void noteTail(SegmentScan scan)
    {
        if (!scan.whole)
            this->result.tornAt = scan.goodBytes;
        for (LogRecord &record : scan.records) {
            const bool settled = record.number < scan.syncedThrough
                                 || std::holds_alternative<SyncMark>(record.body)
                                 || std::holds_alternative<SegmentStart>(record.body);
            if (!settled)
                this->result.unsettled.push_back(std::move(record));
        }
    }

    // Entries up to the snapshot are in it. If the log does not reach it, or has another entry at
    // its place, the snapshot came from a leader and replaces the whole log.
    state::Result<void> dropCoveredEntries()
    {
        std::vector<LogEntry> &entries = this->result.recovered.entries;
        const auto &snapshot = this->result.recovered.snapshot;
        const state::log::LogPosition last = snapshot ? snapshot->last : state::log::LogPosition{};
        if (entries.empty())
            return state::outcome::success();
        if (entries.front().position.index > last.index + 1)
            return damaged(this->folder, "entries are missing before index "
                                                 + std::to_string(entries.front().position.index));
        const std::uint64_t covered = last.index + 1 - entries.front().position.index;
        const bool reaches = covered <= entries.size();
        const bool agrees = reaches && (covered == 0 || entries[covered - 1].position == last);
        this->result.entriesDiscarded = !agrees;
        const auto end =
                agrees ? entries.begin() + static_cast<std::ptrdiff_t>(covered) : entries.end();
        entries.erase(entries.begin(), end);
        return state::outcome::success();
    }

    const FileHooks &hooks;
    std::string folder;
    RecoveredFolder result;
    Replay replay; // into result.recovered
    std::optional<Tail> tail;
    // Index of the last entry before the oldest usable segment, where its start tells it.
    std::optional<std::uint64_t> precedingIndex;
    std::optional<state::Error> gap; // what is wrong before the oldest usable segment
};

} // namespace

std::string segmentPath(const std::string &folder, std::uint64_t segment)
{
    return folder + "/" + numberedName(segmentPrefix, segment, segmentSuffix);
}

state::Result<RecoveredFolder> recoverFolder(const FileHooks &hooks, const std::string &folder)
{
    FolderReader reader(hooks, folder);
    return reader.read();
}

} // namespace lavenderthread::transport::storage
