// Loss of power at any point of a member's life, on a disk in memory.
#include "PowerLossDisk.h"

#include "transport/storage/DurableLog.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>
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

} // namespace

class PowerLossTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PowerLossTest);
    CPPUNIT_TEST(startsWithAnySubsetOfCompactedSegments);
    CPPUNIT_TEST(missingSegmentThatNoSnapshotCoversIsRefused);
    CPPUNIT_TEST(gapsInFoldersOfFormatOneNeedAnEntryBehindThem);
    CPPUNIT_TEST(startsAfterTwoStartsThatWereCutOff);
    CPPUNIT_TEST(createdFolderOutlivesLossOfPower);
    CPPUNIT_TEST_SUITE_END();

public:
    // A member that lost power after a compaction refused to start for ever: some of the removed
    // segments were back and others not.
    void startsWithAnySubsetOfCompactedSegments()
    {
        PowerLossDisk disk = PowerLossDisk::withFolder(folder);
        liveShortly(disk, 4);
        std::size_t largest = 0;
        for (std::size_t allowed = 0; allowed < 20; ++allowed) {
            PowerLossDisk compacted = disk.copy();
            {
                const auto opened = open(compacted).value();
                CPPUNIT_ASSERT(opened.log->saveSnapshot({{1, 4}, "members", "state"}));
                compacted.operationsLeft = allowed;
                (void)opened.log->compact(4);
            }
            largest = std::max(largest, compacted.nameOutcomes());
            for (std::size_t outcome = 0; outcome < compacted.nameOutcomes(); ++outcome) {
                PowerLossDisk after = compacted.afterPowerLoss(outcome, UnsyncedWrites::Present);
                this->assertHolds(after, 4);
                liveShortly(after, 1);
                this->assertHolds(after, 5);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), largest); // four removed names, kept or not
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

private:
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
