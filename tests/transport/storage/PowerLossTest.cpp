// Loss of power at any point of a member's life, on a disk in memory.
#include "PowerLossDisk.h"

#include "transport/storage/DurableLog.h"
#include "transport/storage/SnapshotFile.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>
#include <random>
#include <vector>

namespace lavenderthread::transport::storage {

namespace {

constexpr const char *folder = "/data/control";
constexpr std::array allUnsyncedWrites{UnsyncedWrites::Present, UnsyncedWrites::Torn,
                                       UnsyncedWrites::WithoutFirst, UnsyncedWrites::Missing};

state::log::LogEntry entry(std::uint64_t index)
{
    return {{1, index},
            state::log::LogEntryKind::Command,
            std::string(20, static_cast<char>('a' + index % 26))};
}

state::Result<DurableLog::Opened> open(PowerLossDisk &disk, std::size_t segmentBytes = 1U << 20U)
{
    return DurableLog::open({folder, "vm-1", segmentBytes}, disk.hooks());
}

std::uint64_t lastIndexOf(const Recovered &recovered)
{
    if (!recovered.entries.empty())
        return recovered.entries.back().position.index;
    return recovered.snapshot ? recovered.snapshot->last.index : 0;
}

// One entry in each of `starts` lives of a process, and so a segment for each.
void liveShortly(PowerLossDisk &disk, std::uint64_t starts)
{
    for (std::uint64_t life = 0; life < starts; ++life) {
        const auto opened = open(disk).value();
        const std::uint64_t next = opened.log->lastIndex() + 1;
        CPPUNIT_ASSERT(opened.log->saveHardState({next, "vm-2"}));
        CPPUNIT_ASSERT(opened.log->append(std::vector{entry(next)}));
        CPPUNIT_ASSERT(opened.log->sync());
    }
}

// What a member has acknowledged to others, and so has to find again.
struct Acknowledged
{
    std::uint64_t lastIndex = 0;
    state::log::HardState hardState;
};

// Several lives of a member on one disk: appends that fill segments, snapshots of its own and from
// a leader, compactions, dropped entries, and processes that are killed. Ends at the first failure.
class MemberLives
{
public:
    explicit MemberLives(PowerLossDisk &disk)
        : disk(disk)
    {}

    Acknowledged run()
    {
        this->ended = false;
        this->live([this](DurableLog &log) { this->append(log, 6); });
        this->live([this](DurableLog &log) { this->append(log, 1); });
        this->live([this](DurableLog &log) {
            this->append(log, 2);
            this->compact(log);
            this->append(log, 4);
        });
        this->live([](DurableLog &) {});
        this->live([this](DurableLog &log) {
            this->install(log, log.lastIndex() + 50);
            this->append(log, 3);
        });
        this->live([this](DurableLog &log) {
            this->rewriteLast(log);
            this->compact(log);
            this->compact(log);
        });
        return this->acknowledged;
    }

private:
    static constexpr std::size_t segmentBytes = 400; // some entries

    void live(const std::function<void(DurableLog &)> &work)
    {
        auto opened = this->ended ? state::makeError(state::ErrorCode::Cancelled, "test", "ended")
                                  : open(this->disk, segmentBytes);
        this->ended = !opened;
        if (opened)
            work(*opened.value().log);
    }

    void append(DurableLog &log, std::uint64_t count)
    {
        for (; count > 0 && !this->ended; --count) {
            const std::uint64_t next = log.lastIndex() + 1;
            const state::log::HardState vote{this->acknowledged.hardState.currentTerm + 1, "vm-2"};
            (void)log.saveHardState(vote);
            (void)log.append(std::vector{entry(next)});
            this->ended = !log.sync();
            if (!this->ended)
                this->acknowledged = {next, vote};
        }
    }

    // A new leader replaces an entry that was stored but not committed.
    void rewriteLast(DurableLog &log)
    {
        this->ended =
                this->ended || !log.append(std::vector{entry(log.lastIndex())}) || !log.sync();
    }

    void compact(DurableLog &log)
    {
        const state::log::LogSnapshot snapshot{{1, log.lastIndex()}, "members", "state"};
        this->ended =
                this->ended || !log.saveSnapshot(snapshot) || !log.compact(snapshot.last.index);
    }

    void install(DurableLog &log, std::uint64_t index)
    {
        this->ended = this->ended || !log.installSnapshot({{1, index}, "members", "state"});
        if (!this->ended)
            this->acknowledged.lastIndex = index;
    }

    PowerLossDisk &disk;
    Acknowledged acknowledged;
    bool ended = false;
};

// Why the folder doesn't hold what was acknowledged, or can't be used any more; empty if it does.
std::string problemOf(PowerLossDisk &disk, const Acknowledged &acknowledged)
{
    const auto opened = open(disk);
    if (!opened)
        return opened.error().describe();
    const Recovered &found = opened.value().recovered;
    if (lastIndexOf(found) < acknowledged.lastIndex)
        return "acknowledged entries are gone";
    if (found.hardState.currentTerm < acknowledged.hardState.currentTerm)
        return "the acknowledged vote is gone";
    std::uint64_t expected = found.snapshot ? found.snapshot->last.index : 0;
    for (const state::log::LogEntry &each : found.entries) {
        if (each != entry(++expected))
            return "entry " + std::to_string(expected) + " is another one";
    }
    DurableLog &log = *opened.value().log;
    const bool writable = log.append(std::vector{entry(log.lastIndex() + 1)}) && log.sync();
    return writable ? "" : "the log can't be written";
}

} // namespace

class PowerLossTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PowerLossTest);
    CPPUNIT_TEST(startsWithAnySubsetOfCompactedSegments);
    CPPUNIT_TEST(missingSegmentThatNoSnapshotCoversIsRefused);
    CPPUNIT_TEST(foldersOfFormatOneAreRead);
    CPPUNIT_TEST(gapsInFoldersOfFormatOneNeedAnEntryBehindThem);
    CPPUNIT_TEST(startsAfterTwoStartsThatWereCutOff);
    CPPUNIT_TEST(createdFolderOutlivesLossOfPower);
    CPPUNIT_TEST(everyLossOfPowerKeepsWhatWasAcknowledged);
    CPPUNIT_TEST(folderSyncsThatDoNothingAreCaught);
    CPPUNIT_TEST_SUITE_END();

public:
    // A member that lost power after a compaction refused to start for ever: some of the removed
    // segments were back and others not.
    void startsWithAnySubsetOfCompactedSegments()
    {
        PowerLossDisk disk = PowerLossDisk::withFolder(folder);
        liveShortly(disk, 4);
        std::size_t largest = 0;
        std::size_t afterAll = 0; // name outcomes once the compaction is over
        for (std::size_t allowed = 0; allowed < 20; ++allowed) {
            PowerLossDisk compacted = disk.copy();
            {
                const auto opened = open(compacted).value();
                CPPUNIT_ASSERT(opened.log->saveSnapshot({{1, 4}, "members", "state"}));
                compacted.operationsLeft = allowed;
                (void)opened.log->compact(4);
            }
            afterAll = compacted.nameOutcomes();
            largest = std::max(largest, afterAll);
            for (std::size_t outcome = 0; outcome < compacted.nameOutcomes(); ++outcome) {
                PowerLossDisk after = compacted.afterPowerLoss(outcome, UnsyncedWrites::Present);
                this->assertHolds(after, 4);
                liveShortly(after, 1);
                this->assertHolds(after, 5);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), largest); // four removed names, kept or not
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), afterAll); // no removal stays unsynced
    }

    // A gap that a compaction can't have left loses acknowledged entries without a word, also if
    // the segments behind it hold none.
    void missingSegmentThatNoSnapshotCoversIsRefused()
    {
        PowerLossDisk disk = PowerLossDisk::withFolder(folder);
        liveShortly(disk, 3);
        CPPUNIT_ASSERT(open(disk).value().log->saveSnapshot({{1, 2}, "members", "state"}));
        const std::string third = segmentPath(folder, 3);
        CPPUNIT_ASSERT_EQUAL(0, disk.hooks().unlink(third));
        CPPUNIT_ASSERT(open(disk).error().code == state::ErrorCode::Corrupt);
        CPPUNIT_ASSERT_EQUAL(0, disk.hooks().unlink(segmentPath(folder, 1)));
        CPPUNIT_ASSERT_EQUAL(0, disk.hooks().unlink(segmentPath(folder, 2)));
        CPPUNIT_ASSERT(open(disk).error().code == state::ErrorCode::Corrupt);
    }

    // Guards against members that don't start after an upgrade, also where the oldest segments were
    // compacted away before it.
    void foldersOfFormatOneAreRead()
    {
        PowerLossDisk disk = PowerLossDisk::withFolder(folder);
        const state::log::HardState vote{6, "vm-2"};
        writeFormatOne(disk, 8, {SegmentStart{1, 8, "vm-1", vote}, entry(1), entry(2), entry(6)});
        CPPUNIT_ASSERT(open(disk).error().code == state::ErrorCode::Corrupt); // no entry 3
        writeFormatOne(disk, 8, {SegmentStart{1, 8, "vm-1", vote}, entry(5), entry(6)});
        CPPUNIT_ASSERT(open(disk).error().code == state::ErrorCode::Corrupt); // no snapshot
        CPPUNIT_ASSERT(writeSnapshotFile(disk.hooks(), folder, {{1, 4}, "members", "state"}));
        PowerLossDisk withoutEntries = disk.copy();
        assertHolds(disk, 6);
        liveShortly(disk, 1);
        assertHolds(disk, 7);
        writeFormatOne(withoutEntries, 8, {SegmentStart{1, 8, "vm-1", {4, "vm-2"}}});
        assertHolds(withoutEntries, 4);
    }

    // Segments of format 1 don't tell where the log stood at their start; only their entries show
    // that nothing is missing before them.
    void gapsInFoldersOfFormatOneNeedAnEntryBehindThem()
    {
        PowerLossDisk disk = PowerLossDisk::withFolder(folder);
        liveShortly(disk, 1);
        CPPUNIT_ASSERT(open(disk).value().log->saveSnapshot({{1, 6}, "members", "state"}));
        writeFormatOne(disk, 8, {SegmentStart{1, 8, "vm-1", {6, "vm-2"}}});
        CPPUNIT_ASSERT(open(disk).error().code == state::ErrorCode::Corrupt);
        writeFormatOne(disk, 8, {SegmentStart{1, 8, "vm-1", {6, "vm-2"}}, entry(8)});
        CPPUNIT_ASSERT(open(disk).error().code == state::ErrorCode::Corrupt);
        writeFormatOne(disk, 8, {SegmentStart{1, 8, "vm-1", {6, "vm-2"}}, entry(5), entry(6)});
        this->assertHolds(disk, 6);
    }

    // A start that was cut off left an empty segment, the next one removed it without a sync and
    // was cut off too: both names were there, and the member refused to start for ever.
    void startsAfterTwoStartsThatWereCutOff()
    {
        PowerLossDisk disk = PowerLossDisk::withFolder(folder);
        liveShortly(disk, 2);
        forEachCutOffStart(disk, [](PowerLossDisk &once) {
            forEachCutOffStart(once, [](PowerLossDisk &twice) { assertHolds(twice, 2); });
        });
    }

    // A data folder that the first start had created was gone after a loss of power, with all that
    // was acknowledged in it.
    void createdFolderOutlivesLossOfPower()
    {
        PowerLossDisk disk;
        liveShortly(disk, 1);
        for (std::size_t outcome = 0; outcome < disk.nameOutcomes(); ++outcome) {
            PowerLossDisk after = disk.afterPowerLoss(outcome, UnsyncedWrites::Missing);
            assertHolds(after, 1);
        }
    }

    // The class of failure: whatever a loss of power leaves of the names and writes since their
    // last sync, the member starts with all that it has acknowledged, also after losses in a row.
    void everyLossOfPowerKeepsWhatWasAcknowledged()
    {
        std::size_t losses = 0;
        forEachLossOfPower(false, [&](PowerLossDisk &after, const Acknowledged &acknowledged) {
            ++losses;
            const std::string problem = problemOf(after, acknowledged);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(losses), std::string(), problem);
        });
        CPPUNIT_ASSERT(losses > 1'000);
    }

    void folderSyncsThatDoNothingAreCaught()
    {
        std::size_t caught = 0;
        forEachLossOfPower(true, [&](PowerLossDisk &after, const Acknowledged &acknowledged) {
            caught += problemOf(after, acknowledged).empty() ? 0 : 1;
        });
        CPPUNIT_ASSERT(caught > 100);
    }

private:
    using AfterLoss = std::function<void(PowerLossDisk &, const Acknowledged &)>;

    // Every point of a member's lives, with every outcome; from each a random walk through further
    // starts that are cut off.
    static void forEachLossOfPower(bool ignoreFolderSyncs, const AfterLoss &check)
    {
        std::mt19937_64 random(1);
        PowerLossDisk whole = PowerLossDisk::withFolder(folder);
        (void)MemberLives(whole).run();
        for (std::size_t allowed = 0; allowed <= whole.operations; ++allowed) {
            PowerLossDisk disk = PowerLossDisk::withFolder(folder);
            disk.ignoreFolderSyncs = ignoreFolderSyncs;
            disk.operationsLeft = allowed;
            const Acknowledged acknowledged = MemberLives(disk).run();
            forEachOutcome(disk, random, [&](PowerLossDisk &after) {
                cutOffStarts(after, random, 3);
                check(after, acknowledged);
            });
        }
    }

    static void forEachOutcome(const PowerLossDisk &disk, std::mt19937_64 &random,
                               const std::function<void(PowerLossDisk &)> &check)
    {
        constexpr std::size_t most = 64; // beyond it a sample
        const std::size_t outcomes = disk.nameOutcomes();
        for (std::size_t turn = 0; turn < std::min(outcomes, most); ++turn) {
            const std::size_t outcome = outcomes <= most ? turn : random() % outcomes;
            for (const UnsyncedWrites writes : allUnsyncedWrites) {
                PowerLossDisk after = disk.afterPowerLoss(outcome, writes);
                check(after);
            }
        }
    }

    static void cutOffStarts(PowerLossDisk &disk, std::mt19937_64 &random, std::size_t most)
    {
        constexpr std::size_t operationsOfAStart = 12;
        for (std::size_t starts = random() % (most + 1); starts > 0; --starts) {
            disk.operationsLeft = random() % operationsOfAStart;
            (void)open(disk);
            disk = disk.afterPowerLoss(random() % disk.nameOutcomes(),
                                       allUnsyncedWrites.at(random() % allUnsyncedWrites.size()));
        }
    }

    // Power is lost before each operation of a start, with each outcome.
    static void forEachCutOffStart(const PowerLossDisk &disk,
                                   const std::function<void(PowerLossDisk &)> &check)
    {
        constexpr std::size_t most = 20; // more than a start takes
        for (std::size_t allowed = 0; allowed < most; ++allowed) {
            PowerLossDisk cutOff = disk.copy();
            cutOff.operationsLeft = allowed;
            (void)open(cutOff);
            for (std::size_t outcome = 0; outcome < cutOff.nameOutcomes(); ++outcome) {
                for (const UnsyncedWrites writes : allUnsyncedWrites) {
                    PowerLossDisk after = cutOff.afterPowerLoss(outcome, writes);
                    check(after);
                }
            }
        }
    }

    static void writeFormatOne(PowerLossDisk &disk, std::uint64_t segment,
                               const std::vector<RecordBody> &records)
    {
        constexpr std::uint64_t firstRecord = 100; // far behind those of the segments before
        const FileHooks hooks = disk.hooks();
        std::string bytes;
        for (const RecordBody &body : records)
            appendRecord(bytes, {firstRecord + (&body - records.data()), firstRecord, body});
        (void)hooks.unlink(segmentPath(folder, segment));
        File file = File::open(hooks, segmentPath(folder, segment), O_WRONLY | O_CREAT).value();
        CPPUNIT_ASSERT(file.writeAll(bytes));
        CPPUNIT_ASSERT(file.sync());
    }

    static void assertHolds(PowerLossDisk &disk, std::uint64_t last)
    {
        const auto opened = open(disk);
        const std::string problem = opened ? "" : opened.error().describe();
        CPPUNIT_ASSERT_MESSAGE(problem, opened.has_value());
        const Recovered &found = opened.value().recovered;
        CPPUNIT_ASSERT_EQUAL(last, lastIndexOf(found));
        CPPUNIT_ASSERT_EQUAL(last, found.hardState.currentTerm);
        CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), found.identity);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PowerLossTest);

} // namespace lavenderthread::transport::storage
