// Contract of the durable log, on real files: what was synced is there after any crash, torn ends
// are cut, damage is refused, and a failing disk acknowledges nothing.
#include "FaultyDisk.h"

#include "transport/storage/DurableLog.h"
#include "transport/storage/SnapshotFile.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

namespace lavenderthread::transport::storage {

namespace {

using state::ErrorCode;
using state::log::LogEntry;

LogEntry entry(std::uint64_t index, std::uint64_t term = 1, std::size_t size = 20)
{
    return {{term, index},
            state::log::LogEntryKind::Command,
            std::string(size, static_cast<char>('a' + index % 26))};
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

void writeFile(const std::string &path, const std::string &bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

std::uint64_t lastIndexOf(const Recovered &recovered)
{
    if (!recovered.entries.empty())
        return recovered.entries.back().position.index;
    return recovered.snapshot ? recovered.snapshot->last.index : 0;
}

} // namespace

class DurableLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DurableLogTest);
    CPPUNIT_TEST(reopensWhatWasSynced);
    CPPUNIT_TEST(replacesFromTheFirstIndex);
    CPPUNIT_TEST(oneProcessAFolder);
    CPPUNIT_TEST(everyCutLeavesAPrefix);
    CPPUNIT_TEST(everyFlippedBitIsNoticed);
    CPPUNIT_TEST(missingSegmentIsRefused);
    CPPUNIT_TEST(damagedSegmentIsPassedOverIfTheSnapshotCoversIt);
    CPPUNIT_TEST(missingLogBesideASnapshotIsRefused);
    CPPUNIT_TEST(compactionBoundsTheFolder);
    CPPUNIT_TEST(installedSnapshotReplacesTheLog);
    CPPUNIT_TEST(damagedSnapshotIsRefused);
    CPPUNIT_TEST(fullDiskAcknowledgesNothing);
    CPPUNIT_TEST(failingSyncAcknowledgesNothingEverAfter);
    CPPUNIT_TEST(crashAnywhereKeepsWhatWasSynced);
    CPPUNIT_TEST(skippedSyncIsCaughtByTheCrashTest);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->folder = std::filesystem::temp_directory_path()
                       / ("lavenderthread-log-" + std::to_string(::getpid()));
        std::filesystem::remove_all(this->folder);
    }
    void tearDown() override { std::filesystem::remove_all(this->folder); }

    void reopensWhatWasSynced()
    {
        {
            const auto opened = this->open().value();
            CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), opened.recovered.identity);
            CPPUNIT_ASSERT(opened.log->saveHardState({3, "vm-2"}));
            this->fill(*opened.log, 1, 50);
        }
        const auto again = this->open("vm-9").value();
        CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), again.recovered.identity);
        CPPUNIT_ASSERT(again.recovered.hardState == (state::log::HardState{3, "vm-2"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(50), again.recovered.entries.size());
        CPPUNIT_ASSERT(again.recovered.entries[49] == entry(50));
    }

    void replacesFromTheFirstIndex()
    {
        {
            const auto opened = this->open().value();
            this->fill(*opened.log, 1, 10);
            CPPUNIT_ASSERT(opened.log->append(std::vector{entry(6, 2), entry(7, 2)}));
            CPPUNIT_ASSERT(opened.log->truncateFrom(7));
            CPPUNIT_ASSERT(opened.log->append(std::vector{entry(9)}).has_error());
            CPPUNIT_ASSERT(opened.log->sync());
        }
        const auto again = this->open().value();
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), again.recovered.entries.size());
        CPPUNIT_ASSERT(again.recovered.entries[5] == entry(6, 2));
    }

    void oneProcessAFolder()
    {
        const auto opened = this->open();
        CPPUNIT_ASSERT(this->open().error().code == ErrorCode::Unavailable);
    }

    void everyCutLeavesAPrefix()
    {
        // Power fails while the last write is under way and leaves the file cut at some byte. The
        // member starts with the whole records before the cut, and can go on from there.
        const std::string path = this->writeSample();
        const std::string whole = readFile(path);
        std::uint64_t before = 0;
        for (std::size_t length = 0; length <= whole.size(); ++length) {
            this->restore(path, whole.substr(0, length));
            const auto opened = this->openQuickly();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(length), opened.has_value());
            const std::uint64_t last = lastIndexOf(opened.value().recovered);
            CPPUNIT_ASSERT(last >= before);
            before = last;
            CPPUNIT_ASSERT(opened.value().log->append(std::vector{entry(last + 1, 7)}));
            CPPUNIT_ASSERT(opened.value().log->sync());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), before);
    }

    void everyFlippedBitIsNoticed()
    {
        // A bit flips in a record that was synced and acknowledged. Cutting there would lose
        // acknowledged changes without a word; the member refuses to start and says what to do.
        // Only the mark behind the last sync may be cut: it acknowledges nothing of its own.
        const std::string path = this->writeSample();
        const std::string whole = readFile(path);
        const std::size_t markBytes = recordHeaderBytes + 5;
        std::size_t refused = 0;
        for (std::size_t place = 0; place < whole.size(); ++place) {
            std::string damaged = whole;
            damaged[place] = static_cast<char>(damaged[place] ^ (1 << (place % 8)));
            this->restore(path, damaged);
            const auto opened = this->openQuickly();
            const bool inLastMark = place >= whole.size() - markBytes;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(place), inLastMark, opened.has_value());
            if (inLastMark) {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), lastIndexOf(opened.value().recovered));
                continue;
            }
            ++refused;
            CPPUNIT_ASSERT(opened.error().code == ErrorCode::Corrupt);
            CPPUNIT_ASSERT(opened.error().cause.find("new identity") != std::string::npos);
        }
        CPPUNIT_ASSERT(refused > 300);
    }

    void missingSegmentIsRefused()
    {
        for (int round = 0; round < 3; ++round) {
            const auto opened = this->open().value();
            this->fill(*opened.log, 1 + 5 * static_cast<std::uint64_t>(round), 5);
        }
        std::filesystem::remove(segmentPath(this->folder, 2));
        CPPUNIT_ASSERT(this->open().error().code == ErrorCode::Corrupt);
    }

    // Guards against a member that stays down for a segment that compaction has not yet removed,
    // and against passing over one that is still needed.
    void damagedSegmentIsPassedOverIfTheSnapshotCoversIt()
    {
        for (int round = 0; round < 3; ++round) {
            const auto opened = this->open().value();
            this->fill(*opened.log, 1 + 5 * static_cast<std::uint64_t>(round), 5);
        }
        const std::string path = segmentPath(this->folder, 2);
        std::string bytes = readFile(path);
        bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
        writeFile(path, bytes);
        CPPUNIT_ASSERT(this->open().error().code == ErrorCode::Corrupt);
        const FileHooks hooks = FileHooks::system();
        CPPUNIT_ASSERT(writeSnapshotFile(hooks, this->folder, {{1, 9}, "members", "state"}));
        CPPUNIT_ASSERT(this->open().error().code == ErrorCode::Corrupt);
        CPPUNIT_ASSERT(writeSnapshotFile(hooks, this->folder, {{1, 10}, "members", "state"}));
        const auto again = this->open().value();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), again.recovered.segmentsPassedOver);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(15), lastIndexOf(again.recovered));
        CPPUNIT_ASSERT(!std::filesystem::exists(path));
    }

    void missingLogBesideASnapshotIsRefused()
    {
        {
            const auto opened = this->open().value();
            this->fill(*opened.log, 1, 5);
            CPPUNIT_ASSERT(opened.log->saveSnapshot({{1, 5}, "members", "state"}));
        }
        std::filesystem::remove(segmentPath(this->folder, 1));
        CPPUNIT_ASSERT(this->open().error().code == ErrorCode::Corrupt);
    }

    void compactionBoundsTheFolder()
    {
        {
            const auto opened = this->open("vm-1", 4'096, this->quickDisk.hooks()).value();
            CPPUNIT_ASSERT(opened.log->saveHardState({4, "vm-3"}));
            this->fill(*opened.log, 1, 1'000);
            CPPUNIT_ASSERT(opened.log->segments() > 10);
            CPPUNIT_ASSERT(opened.log->saveSnapshot({{1, 900}, "members", "old"}));
            CPPUNIT_ASSERT(opened.log->saveSnapshot({{1, 990}, "members", "state"}));
            CPPUNIT_ASSERT(opened.log->compact(5'000));
            CPPUNIT_ASSERT(opened.log->segments() <= 3);
        }
        CPPUNIT_ASSERT(!std::filesystem::exists(snapshotPath(this->folder, 900)));
        const auto again = this->open().value();
        CPPUNIT_ASSERT(again.recovered.hardState == (state::log::HardState{4, "vm-3"}));
        CPPUNIT_ASSERT_EQUAL(std::string("state"), again.recovered.snapshot->bytes);
        CPPUNIT_ASSERT(again.recovered.entries.front() == entry(991));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'000), lastIndexOf(again.recovered));
    }

    void installedSnapshotReplacesTheLog()
    {
        // A member far behind gets the leader's snapshot; whether it crashes right after the
        // snapshot's rename or later, its old entries never come back.
        const state::log::LogSnapshot received{{5, 500}, "members", "state"};
        for (const bool crashInBetween : {true, false}) {
            std::filesystem::remove_all(this->folder);
            {
                const auto opened = this->open().value();
                this->fill(*opened.log, 1, 20);
                if (crashInBetween) {
                    CPPUNIT_ASSERT(
                            writeSnapshotFile(opened.log->fileHooks(), this->folder, received));
                } else {
                    CPPUNIT_ASSERT(opened.log->installSnapshot(received));
                }
            }
            for (std::uint64_t index = 501; index < 504; ++index) {
                const auto again = this->open().value();
                CPPUNIT_ASSERT_EQUAL(index - 1, lastIndexOf(again.recovered));
                CPPUNIT_ASSERT_EQUAL(index - 501, std::uint64_t(again.recovered.entries.size()));
                CPPUNIT_ASSERT(again.log->append(std::vector{entry(index, 5)}));
                CPPUNIT_ASSERT(again.log->sync());
            }
        }
    }

    void damagedSnapshotIsRefused()
    {
        {
            const auto opened = this->open().value();
            this->fill(*opened.log, 1, 5);
            CPPUNIT_ASSERT(opened.log->saveSnapshot({{1, 5}, "members", "state"}));
        }
        const std::string path = snapshotPath(this->folder, 5);
        const std::string whole = readFile(path);
        for (std::size_t place = 0; place < whole.size(); ++place) {
            std::string damaged = whole;
            damaged[place] = static_cast<char>(damaged[place] ^ 1);
            writeFile(path, damaged);
            CPPUNIT_ASSERT(this->open().error().code == ErrorCode::Corrupt);
            writeFile(path, whole.substr(0, place));
            CPPUNIT_ASSERT(this->open().error().code == ErrorCode::Corrupt);
        }
    }

    void fullDiskAcknowledgesNothing()
    {
        // The disk fills up during a write. The sync fails and says so, and so does every later
        // one; once there is space, a new start finds all that was acknowledged.
        FaultyDisk disk;
        {
            const auto opened = this->open("vm-1", 1U << 20U, disk.hooks()).value();
            this->fill(*opened.log, 1, 10);
            disk.writesLeft = 1;
            CPPUNIT_ASSERT(opened.log->append(std::vector{entry(11, 1, 500)}));
            const auto synced = opened.log->sync();
            CPPUNIT_ASSERT(synced.error().code == ErrorCode::StorageFailed);
            CPPUNIT_ASSERT(synced.error().cause.find("free space") != std::string::npos);
            disk.writesLeft = 1'000;
            CPPUNIT_ASSERT(opened.log->sync().has_error());
            CPPUNIT_ASSERT(opened.log->failure().has_value());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), lastIndexOf(this->open().value().recovered));
    }

    void failingSyncAcknowledgesNothingEverAfter()
    {
        // A sync fails once. Trying again would succeed, since the kernel then holds the lost pages
        // as clean; so the log stays failed.
        FaultyDisk disk;
        const auto opened = this->open("vm-1", 1U << 20U, disk.hooks()).value();
        this->fill(*opened.log, 1, 3);
        disk.syncsLeft = 0;
        CPPUNIT_ASSERT(opened.log->append(std::vector{entry(4)}));
        CPPUNIT_ASSERT(opened.log->sync().error().code == ErrorCode::StorageFailed);
        disk.syncsLeft = 100;
        CPPUNIT_ASSERT(opened.log->sync().has_error());
        CPPUNIT_ASSERT(opened.log->saveSnapshot({{1, 3}, "m", "s"}).has_error());
        CPPUNIT_ASSERT(opened.log->compact(3).has_error());
    }

    void crashAnywhereKeepsWhatWasSynced()
    {
        for (std::uint64_t seed = 0; seed < 60; ++seed)
            CPPUNIT_ASSERT_MESSAGE(std::to_string(seed), this->survivesCrashes(seed, false));
    }

    void skippedSyncIsCaughtByTheCrashTest()
    {
        std::size_t caught = 0;
        for (std::uint64_t seed = 0; seed < 10; ++seed)
            caught += this->survivesCrashes(seed, true) ? 0 : 1;
        CPPUNIT_ASSERT(caught > 5);
    }

private:
    state::Result<DurableLog::Opened> open(const std::string &identity = "vm-1",
                                           std::size_t segmentBytes = 1U << 20U,
                                           FileHooks hooks = FileHooks::system())
    {
        return DurableLog::open({this->folder, identity, segmentBytes}, std::move(hooks));
    }

    // Syncs do nothing, for tables that open a thousand times and lose no power.
    state::Result<DurableLog::Opened> openQuickly()
    {
        return this->open("vm-1", 1U << 20U, this->quickDisk.hooks());
    }

    // One sync for each entry.
    static void fill(DurableLog &log, std::uint64_t first, std::uint64_t count)
    {
        for (std::uint64_t index = first; index < first + count; ++index) {
            CPPUNIT_ASSERT(log.append(std::vector{entry(index)}));
            CPPUNIT_ASSERT(log.sync());
        }
    }

    // A segment with six entries in three syncs; gives its path.
    std::string writeSample()
    {
        const auto opened = this->open().value();
        for (std::uint64_t index = 1; index <= 5; index += 2) {
            CPPUNIT_ASSERT(opened.log->append(std::vector{entry(index), entry(index + 1)}));
            CPPUNIT_ASSERT(opened.log->sync());
        }
        return segmentPath(this->folder, 1);
    }

    void restore(const std::string &path, const std::string &bytes)
    {
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
        writeFile(path, bytes);
    }

    // Runs a member through five crashes, each at some write or sync and with some part of the
    // unsynced bytes kept; false if anything acknowledged is missing afterwards.
    bool survivesCrashes(std::uint64_t seed, bool skipSyncs)
    {
        std::mt19937_64 random(seed);
        std::filesystem::remove_all(this->folder);
        std::uint64_t acknowledged = 0;
        state::log::HardState vote;
        for (int life = 0; life < 5; ++life) {
            FaultyDisk disk;
            {
                auto opened = this->open("vm-1", 700, disk.hooks());
                if (!opened)
                    return false;
                const Recovered &recovered = opened.value().recovered;
                if (lastIndexOf(recovered) < acknowledged || recovered.hardState < vote)
                    return false;
                disk.writesLeft = 1 + random() % 40;
                disk.syncsLeft = 1 + random() % 40;
                disk.skipSyncs = skipSyncs;
                this->work(*opened.value().log, random, acknowledged, vote);
            }
            disk.crash(random() % 80);
        }
        return true;
    }

    static void work(DurableLog &log, std::mt19937_64 &random, std::uint64_t &acknowledged,
                     state::log::HardState &vote)
    {
        for (int step = 0; step < 30 && !log.failure(); ++step) {
            std::uint64_t next = log.lastIndex() + 1;
            for (std::uint64_t count = random() % 4; count > 0; --count, ++next)
                CPPUNIT_ASSERT(log.append(std::vector{entry(next, 1, random() % 60)}));
            const state::log::HardState newVote{vote.currentTerm + 1, "vm"};
            CPPUNIT_ASSERT(log.saveHardState(newVote));
            if (log.sync()) {
                acknowledged = next - 1;
                vote = newVote;
            }
            if (random() % 8 == 0 && log.saveSnapshot({{1, acknowledged}, "m", "s"}))
                (void)log.compact(acknowledged);
        }
    }

    std::string folder;
    FaultyDisk quickDisk;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DurableLogTest);

} // namespace lavenderthread::transport::storage
