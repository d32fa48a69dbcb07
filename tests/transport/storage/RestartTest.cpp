// The control state over the durable log, on real files: restarts after hundreds of changes, and a
// folder that stays small after very many.
#include "FaultyDisk.h"

#include "protocol/ControlCommands.h"
#include "transport/storage/DurableLog.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

namespace lavenderthread::transport::storage {

namespace {

using state::control::ControlState;

const state::ClientAccountId acme("acme");

state::control::Command editOf(const ControlState &state, std::uint64_t number)
{
    const state::TableKey key{acme, state::WorkClass("class-" + std::to_string(number % 40))};
    const auto *known = state.view().table.find(key);
    state::TableRow row{.key = key, .weight = static_cast<std::uint32_t>(1 + number % 9'999)};
    return protocol::makeOperatorCommand(
            state::OperatorId("ana"), std::to_string(number), {},
            state::control::EditRows{{{row, known ? known->row.version : 0, false}}});
}

} // namespace

class RestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestartTest);
    CPPUNIT_TEST(sameTableAfterFiveHundredChanges);
    CPPUNIT_TEST(folderStaysSmallAfterAHundredThousandChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->folder = std::filesystem::temp_directory_path()
                       / ("lavenderthread-restart-" + std::to_string(::getpid()));
        std::filesystem::remove_all(this->folder);
    }
    void tearDown() override { std::filesystem::remove_all(this->folder); }

    void sameTableAfterFiveHundredChanges()
    {
        // 500 changes are acknowledged, then the power goes; every byte that was not synced is
        // lost. Table, history and remembered requests are the same after the restart.
        FaultyDisk disk;
        ControlState before;
        this->run(before, 500, 1, disk);
        disk.crash(0);
        CPPUNIT_ASSERT(this->restart().image() == before.image());
    }

    void folderStaysSmallAfterAHundredThousandChanges()
    {
        FaultyDisk disk;
        ControlState before;
        this->run(before, 100'000, 512, disk);
        CPPUNIT_ASSERT(this->restart().image() == before.image());
        std::uintmax_t bytes = 0;
        for (const auto &file : std::filesystem::directory_iterator(this->folder))
            bytes += file.file_size();
        // Less than a third of the about 20 MB that the changes took.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes), bytes < 7'000'000);
    }

private:
    void run(ControlState &state, std::uint64_t changes, std::size_t batch, FaultyDisk &disk)
    {
        const DurableLogSettings settings{this->folder, "vm-1", 1U << 20U};
        const auto opened = DurableLog::open(settings, disk.hooks()).value();
        const state::control::PutAccount account{{acme, "Acme", "", 0}, 0};
        std::uint64_t index = 0;
        while (index < changes) {
            ++index;
            const state::control::Command command =
                    index == 1 ? protocol::makeOperatorCommand(state::OperatorId("ana"), "account",
                                                               {}, account)
                               : editOf(state, index);
            const state::log::LogEntry entry{{1, index},
                                             state::log::LogEntryKind::Command,
                                             protocol::encodeCommand(command)};
            CPPUNIT_ASSERT(opened.log->append(std::vector{entry}));
            state.apply(entry.position, command);
            if (index % batch == 0 || index == changes)
                CPPUNIT_ASSERT(opened.log->sync());
            if (index % 16'384 == 0) {
                CPPUNIT_ASSERT(opened.log->saveSnapshot(
                        {{1, index}, "", protocol::encodeControlState(state)}));
                CPPUNIT_ASSERT(opened.log->compact(index));
            }
        }
    }

    ControlState restart()
    {
        const auto opened = DurableLog::open({this->folder, "vm-1"}).value();
        ControlState state;
        if (opened.recovered.snapshot)
            state = protocol::decodeControlState(opened.recovered.snapshot->bytes).value();
        for (const state::log::LogEntry &entry : opened.recovered.entries)
            state.apply(entry.position, protocol::decodeCommand(entry.payload).value());
        return state;
    }

    std::string folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartTest);

} // namespace lavenderthread::transport::storage
