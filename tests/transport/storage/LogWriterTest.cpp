// Group commit under several submitting threads, and its failure: what was reported durable is
// found again, and nothing is reported after a failure.
#include "FaultyDisk.h"

#include "transport/storage/LogWriter.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <filesystem>

namespace lavenderthread::transport::storage {

namespace {

state::log::LogEntry entry(std::uint64_t index)
{
    return {{1, index}, state::log::LogEntryKind::Command, "payload"};
}

} // namespace

class LogWriterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogWriterTest);
    CPPUNIT_TEST(reportsInOrderAndKeepsEverything);
    CPPUNIT_TEST(failureIsReportedOnceAndEndsReports);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->folder = std::filesystem::temp_directory_path()
                       / ("lavenderthread-writer-" + std::to_string(::getpid()));
        std::filesystem::remove_all(this->folder);
    }
    void tearDown() override { std::filesystem::remove_all(this->folder); }

    void reportsInOrderAndKeepsEverything()
    {
        constexpr std::uint64_t writes = 2'000;
        std::uint64_t reported = 0;
        std::atomic<int> snapshots = 0;
        {
            LogWriter writer(this->open(FileHooks::system()),
                             {[&](std::uint64_t sequence) {
                                  CPPUNIT_ASSERT(sequence > reported);
                                  reported = sequence;
                              },
                              [](const state::Error &) { std::abort(); },
                              [&](const SnapshotPointer &) { ++snapshots; }});
            for (std::uint64_t index = 1; index <= writes; ++index) {
                writer.submit({index, state::log::HardState{index, "vm"}, nullptr, {entry(index)}});
                if (index % 500 == 0)
                    writer.saveSnapshot(std::make_shared<state::log::LogSnapshot>(
                                                state::log::LogSnapshot{{1, 400}, "m", "s"}),
                                        300);
            }
        }
        CPPUNIT_ASSERT_EQUAL(writes, reported);
        CPPUNIT_ASSERT(snapshots >= 1);
        const auto again = DurableLog::open({this->folder, "vm-1"}).value();
        CPPUNIT_ASSERT(again.recovered.entries.back() == entry(writes));
        CPPUNIT_ASSERT_EQUAL(writes, again.recovered.hardState.currentTerm);
        CPPUNIT_ASSERT_EQUAL(std::string("s"), again.recovered.snapshot->bytes);
    }

    void failureIsReportedOnceAndEndsReports()
    {
        // The disk fills up while writes go on; the member is told once and acknowledges nothing of
        // what comes after.
        FaultyDisk disk;
        std::uint64_t reported = 0;
        int failures = 0;
        {
            LogWriter writer(this->open(disk.hooks()),
                             {[&](std::uint64_t sequence) { reported = sequence; },
                              [&](const state::Error &) { ++failures; }, nullptr});
            disk.bytesLeft = 2'000; // before the first submit: the writer waits until then
            for (std::uint64_t index = 1; index <= 200; ++index)
                writer.submit({index, std::nullopt, nullptr, {entry(index)}});
        }
        CPPUNIT_ASSERT_EQUAL(1, failures);
        CPPUNIT_ASSERT(reported < 200);
        const auto again = DurableLog::open({this->folder, "vm-1"}).value();
        const auto &entries = again.recovered.entries;
        CPPUNIT_ASSERT((entries.empty() ? 0 : entries.back().position.index) >= reported);
    }

private:
    std::unique_ptr<DurableLog> open(FileHooks hooks)
    {
        return DurableLog::open({this->folder, "vm-1"}, std::move(hooks)).value().log;
    }

    std::string folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogWriterTest);

} // namespace lavenderthread::transport::storage
