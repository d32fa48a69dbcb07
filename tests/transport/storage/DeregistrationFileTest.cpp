// What a member finds of its deregistrations after kills, losses of power and failures of its disk:
// at least all that it has acknowledged.
#include "FaultyDisk.h"
#include "PowerLossDisk.h"

#include "transport/storage/DeregistrationFile.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

namespace lavenderthread::transport::storage {

namespace {

using state::Deregistration;

constexpr state::Instant now{std::chrono::hours(10)};

Deregistration left(int number, std::uint64_t incarnation = 1)
{
    return {state::EndpointId("endpoint-" + std::to_string(number)), incarnation};
}

constexpr const char *memoryFolder = "/data/control";
constexpr int lives = 3;
constexpr int appendsOfALife = 4;
constexpr std::size_t allAppends = 12;
static_assert(allAppends == lives * appendsOfALife);

DeregistrationFile::Opened openIn(PowerLossDisk &disk)
{
    // Small, so that the file is written anew now and then.
    constexpr std::size_t rewriteBytes = 200;
    return DeregistrationFile::open({.folder = memoryFolder, .rewriteBytes = rewriteBytes}, now,
                                    disk.hooks());
}

// Several lives of a process, until the disk fails. Returns what it has acknowledged.
std::vector<Deregistration> live(PowerLossDisk &disk)
{
    std::vector<Deregistration> acknowledged;
    for (int life = 0; life < lives; ++life) {
        const auto opened = openIn(disk);
        for (int number = 0; number < appendsOfALife; ++number) {
            const Deregistration next = left(life * appendsOfALife + number);
            if (!opened.file->append(std::vector{next}, now))
                return acknowledged;
            acknowledged.push_back(next);
        }
    }
    return acknowledged;
}

bool contains(const std::vector<Deregistration> &found, const Deregistration &wanted)
{
    return std::ranges::find(found, wanted) != found.end();
}

} // namespace

class DeregistrationFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DeregistrationFileTest);
    CPPUNIT_TEST(appendedOnesAreRecovered);
    CPPUNIT_TEST(cutFileKeepsItsBeginning);
    CPPUNIT_TEST(lossOfPowerKeepsWhatWasAcknowledged);
    CPPUNIT_TEST(failedWriteIsMadeGoodByTheNext);
    CPPUNIT_TEST(fileStaysSmall);
    CPPUNIT_TEST(oldOnesAreForgotten);
    CPPUNIT_TEST(unreadableFileIsReported);
    CPPUNIT_TEST_SUITE_END();

    DeregistrationFile::Opened open(FileHooks hooks = FileHooks::system(),
                                    state::Instant at = now) const
    {
        return DeregistrationFile::open({.folder = this->folder}, at, std::move(hooks));
    }

    std::string path() const { return this->folder + "/deregistrations"; }

public:
    void setUp() override
    {
        this->folder = (std::filesystem::temp_directory_path()
                        / ("lavenderthread-deregistrations-" + std::to_string(::getpid())))
                               .string();
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
    }
    void tearDown() override { std::filesystem::remove_all(this->folder); }

    void appendedOnesAreRecovered()
    {
        CPPUNIT_ASSERT(this->open().recovered.empty());
        for (int start = 0; start < 3; ++start) {
            const auto opened = this->open();
            CPPUNIT_ASSERT(!opened.problem);
            const std::vector<Deregistration> batch{left(2 * start), left(2 * start + 1)};
            CPPUNIT_ASSERT(opened.file->append(batch, now).has_value());
            CPPUNIT_ASSERT(opened.file->append(std::vector{left(100, start + 1)}, now).has_value());
        }
        const auto found = this->open().recovered;
        for (int number = 0; number < 6; ++number)
            CPPUNIT_ASSERT(contains(found, left(number)));
        CPPUNIT_ASSERT(contains(found, left(100, 3)));
    }

    // Guards against a torn last write that takes the earlier records with it, or is taken for one.
    void cutFileKeepsItsBeginning()
    {
        constexpr int count = 4;
        std::vector<std::size_t> ends;
        {
            const auto opened = this->open();
            for (int number = 0; number < count; ++number) {
                CPPUNIT_ASSERT(opened.file->append(std::vector{left(number)}, now).has_value());
                ends.push_back(opened.file->bytes());
            }
        }
        for (std::size_t size = ends.back(); size-- > 0;) {
            std::filesystem::resize_file(this->path(), size);
            const auto found = this->open().recovered;
            const auto whole = std::ranges::count_if(ends, [&](auto end) { return end <= size; });
            CPPUNIT_ASSERT_EQUAL(std::size_t(whole), found.size());
            for (int number = 0; number < whole; ++number)
                CPPUNIT_ASSERT(contains(found, left(number)));
        }
    }

    // Guards against an acknowledged deregistration that a loss of power takes away, at whatever
    // operation of the disk it comes.
    void lossOfPowerKeepsWhatWasAcknowledged()
    {
        for (std::size_t operations = 0;; ++operations) {
            PowerLossDisk disk = PowerLossDisk::withFolder(memoryFolder);
            disk.operationsLeft = operations;
            const std::vector<Deregistration> acknowledged = live(disk);
            for (std::size_t outcome = 0; outcome < disk.nameOutcomes(); ++outcome) {
                for (const UnsyncedWrites writes :
                     {UnsyncedWrites::Present, UnsyncedWrites::Torn, UnsyncedWrites::WithoutFirst,
                      UnsyncedWrites::Missing}) {
                    PowerLossDisk after = disk.afterPowerLoss(outcome, writes);
                    const auto found = openIn(after).recovered;
                    for (const Deregistration &each : acknowledged)
                        CPPUNIT_ASSERT(contains(found, each));
                }
            }
            if (acknowledged.size() == allAppends)
                return;
        }
    }

    // Guards against records behind the torn one of a failed write, which nobody reads.
    void failedWriteIsMadeGoodByTheNext()
    {
        FaultyDisk disk;
        const auto opened = this->open(disk.hooks());
        CPPUNIT_ASSERT(opened.file->append(std::vector{left(1)}, now).has_value());
        disk.writesLeft = 1; // cut in half, and the disk is full then
        CPPUNIT_ASSERT(!opened.file->append(std::vector{left(2)}, now).has_value());
        CPPUNIT_ASSERT(!opened.file->append(std::vector{left(3)}, now).has_value());
        CPPUNIT_ASSERT(contains(this->open().recovered, left(1)));
        disk.writesLeft = 1U << 20U;
        CPPUNIT_ASSERT(opened.file->append(std::vector{left(4)}, now).has_value());
        const auto found = this->open().recovered;
        for (int number = 1; number <= 4; ++number)
            CPPUNIT_ASSERT(contains(found, left(number)));
    }

    // Guards against a file that grows with each restart of the same endpoints until the disk is
    // full.
    void fileStaysSmall()
    {
        constexpr std::uint64_t starts = 20'000;
        constexpr std::size_t mostBytes = 256U << 10U;
        const auto opened = this->open();
        std::vector<Deregistration> batch;
        for (std::uint64_t start = 1; start <= starts; ++start) {
            batch.push_back(left(int(start % 100), start));
            if (batch.size() < 50)
                continue;
            CPPUNIT_ASSERT(opened.file->append(batch, now).has_value());
            batch.clear();
        }
        CPPUNIT_ASSERT(std::filesystem::file_size(this->path()) < mostBytes);
        CPPUNIT_ASSERT(contains(this->open().recovered, left(0, starts)));
    }

    void oldOnesAreForgotten()
    {
        CPPUNIT_ASSERT(this->open().file->append(std::vector{left(1)}, now).has_value());
        const auto again = this->open();
        const state::Instant later = now + std::chrono::hours(2);
        CPPUNIT_ASSERT(again.file->append(std::vector{left(2)}, later).has_value());
        const auto found = this->open().recovered;
        CPPUNIT_ASSERT(!contains(found, left(1)) && contains(found, left(2)));
    }

    // Guards against a member that can't start since this file can't be read.
    void unreadableFileIsReported()
    {
        std::filesystem::create_directories(this->path());
        const auto opened = this->open();
        CPPUNIT_ASSERT(opened.problem.has_value());
        CPPUNIT_ASSERT(opened.problem->code == state::ErrorCode::StorageFailed);
        CPPUNIT_ASSERT(opened.recovered.empty());
    }

private:
    std::string folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeregistrationFileTest);

} // namespace lavenderthread::transport::storage
