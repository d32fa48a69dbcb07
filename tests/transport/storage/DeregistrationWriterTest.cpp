// Deregistrations of several threads are all reported as stored, and a disk that is full for a
// while holds them up but loses none.
#include "FaultyDisk.h"

#include "transport/storage/DeregistrationWriter.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <filesystem>
#include <thread>

namespace lavenderthread::transport::storage {

namespace {

using state::Deregistration;
using std::chrono::milliseconds;

constexpr state::Instant start{std::chrono::hours(10)};

} // namespace

class DeregistrationWriterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DeregistrationWriterTest);
    CPPUNIT_TEST(allAreStored);
    CPPUNIT_TEST(fullDiskHoldsThemUp);
    CPPUNIT_TEST(endDoesNotWaitForABrokenDisk);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<DeregistrationFile> open(FileHooks hooks = FileHooks::system()) const
    {
        return DeregistrationFile::open({.folder = this->folder}, start, std::move(hooks)).file;
    }

    static std::vector<Deregistration> batch(int number)
    {
        return {{state::EndpointId("endpoint-" + std::to_string(number)), 1}};
    }

public:
    void setUp() override
    {
        this->folder = (std::filesystem::temp_directory_path()
                        / ("lavenderthread-deregistration-writer-" + std::to_string(::getpid())))
                               .string();
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
    }
    void tearDown() override { std::filesystem::remove_all(this->folder); }

    void allAreStored()
    {
        constexpr int threads = 4;
        constexpr int each = 200;
        std::atomic<std::size_t> stored = 0;
        {
            DeregistrationWriter writer(this->open(),
                                        {[&](const auto &batch) { stored += batch.size(); },
                                         [](const state::Error &) { std::abort(); }});
            std::vector<std::thread> submitters;
            for (int thread = 0; thread < threads; ++thread)
                submitters.emplace_back([&writer, thread] {
                    for (int number = 0; number < each; ++number)
                        writer.submit(batch(thread * each + number));
                });
            for (std::thread &submitter : submitters)
                submitter.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(threads * each), stored.load());
        const auto opened = DeregistrationFile::open({.folder = this->folder}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(threads * each), opened.recovered.size());
    }

    // Guards against an acknowledgement while the disk is full, and against one that never comes
    // though there is room again.
    void fullDiskHoldsThemUp()
    {
        FaultyDisk disk;
        std::atomic<bool> full = true;
        FileHooks hooks = disk.hooks();
        hooks.write = [&full, write = hooks.write](int handle, const char *bytes,
                                                   std::size_t size) -> ssize_t {
            if (!full)
                return write(handle, bytes, size);
            errno = ENOSPC;
            return -1;
        };
        std::atomic<std::size_t> stored = 0;
        std::atomic<int> failures = 0;
        {
            DeregistrationWriter writer(this->open(std::move(hooks)),
                                        {[&](const auto &batch) { stored += batch.size(); },
                                         [&](const state::Error &) { ++failures; }},
                                        milliseconds(5));
            writer.submit(batch(1));
            std::this_thread::sleep_for(milliseconds(60));
            writer.submit(batch(2));
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), stored.load());
            CPPUNIT_ASSERT_EQUAL(1, failures.load());
            full = false;
            for (int waits = 0; waits < 1'000 && stored < 2; ++waits)
                std::this_thread::sleep_for(milliseconds(5));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), stored.load());
        CPPUNIT_ASSERT_EQUAL(1, failures.load());
    }

    // Guards against a process that can't stop since its disk refuses writes.
    void endDoesNotWaitForABrokenDisk()
    {
        FaultyDisk disk;
        disk.bytesLeft = 0;
        std::atomic<std::size_t> stored = 0;
        {
            DeregistrationWriter writer(this->open(disk.hooks()),
                                        {[&](const auto &batch) { stored += batch.size(); },
                                         [](const state::Error &) {}},
                                        std::chrono::hours(1));
            writer.submit(batch(1));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), stored.load());
    }

private:
    std::string folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeregistrationWriterTest);

} // namespace lavenderthread::transport::storage
