// Writes changes, ends without warning, and starts again from the folder.
#include "storage/Parts.h"
#include "storage/Workload.h"

#include "transport/storage/DurableLog.h"

#include <filesystem>
#include <vector>

namespace lavenderthread::bench {

namespace {

using state::control::ControlState;
using transport::storage::DurableLog;

constexpr std::uint64_t snapshotEvery = 16'384; // entries, as the consensus asks for them
constexpr std::size_t batch = 256;

std::uintmax_t folderBytes(const std::string &folder)
{
    std::uintmax_t bytes = 0;
    for (const auto &file : std::filesystem::directory_iterator(folder))
        bytes += file.file_size();
    return bytes;
}

void writeChanges(const std::string &folder, std::size_t changes, ControlState &state,
                  Figures &figures)
{
    const auto opened = DurableLog::open({folder, "vm"}).value();
    Operator editor(state);
    std::vector<state::log::LogEntry> entries;
    constexpr std::size_t accounts = 100;
    for (std::uint64_t index = 1; index <= changes; ++index) {
        const std::size_t account = index % accounts;
        const state::control::Command command =
                index <= accounts ? editor.addAccount(account) : editor.edit(account, "review");
        entries.push_back(entryOf(index, command));
        state.apply({1, index}, command);
        if (entries.size() == batch || index == changes) {
            if (!opened.log->append(entries) || !opened.log->sync())
                std::fprintf(stderr, "append failed\n");
            entries.clear();
        }
        if (index % snapshotEvery == 0 && entries.empty()) {
            const state::log::LogSnapshot snapshot{
                    {1, index}, "", protocol::encodeControlState(state)};
            if (!opened.log->saveSnapshot(snapshot) || !opened.log->compact(index))
                std::fprintf(stderr, "snapshot failed\n");
        }
    }
    figures.add(std::to_string(changes) + " changes: log bytes a change",
                static_cast<double>(opened.log->bytesWritten()) / static_cast<double>(changes),
                "B");
}

void measureStart(const std::string &folder, std::size_t changes, Figures &figures)
{
    const std::string name = std::to_string(changes) + " changes: ";
    const std::string data = folder + "/restart-" + std::to_string(changes);
    ControlState before;
    writeChanges(data, changes, before, figures);
    figures.add(name + "data folder", static_cast<double>(folderBytes(data)) / 1e6, "MB");
    const auto start = std::chrono::steady_clock::now();
    const auto opened = DurableLog::open({data, "vm"}).value();
    ControlState after;
    if (opened.recovered.snapshot)
        after = protocol::decodeControlState(opened.recovered.snapshot->bytes).value();
    for (const state::log::LogEntry &entry : opened.recovered.entries)
        after.apply(entry.position, protocol::decodeCommand(entry.payload).value());
    figures.add(name + "start", secondsSince(start) * 1e3, "ms");
    figures.add(name + "same state after start", after.image() == before.image() ? 1 : 0,
                "(1: yes)");
}

} // namespace

void measureRestart(const std::string &folder, Figures &figures)
{
    measureStart(folder, 500, figures);
    measureStart(folder, 10'000, figures);
    measureStart(folder, 100'000, figures);
}

} // namespace lavenderthread::bench
