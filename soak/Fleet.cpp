#include "Fleet.h"

#include "SocketInode.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string_view>

namespace lavenderthread::soak {

namespace {

constexpr std::uint16_t gossipPort = 0; // offsets from the first port
constexpr std::uint16_t peerPort = 1;
constexpr std::uint16_t callerPort = 2;
constexpr std::uint16_t directoryPort = 3;
constexpr std::uint16_t operatorPort = 4;
constexpr std::uint16_t readyPort = 5;

// Bounds the descriptors of the processes that are started meanwhile.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(std::uint64_t descriptors)
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit lowered = this->before;
        if (descriptors > 0)
            lowered.rlim_cur = std::min<rlim_t>(descriptors, lowered.rlim_max);
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &this->before); }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit before{};
};

} // namespace

Fleet::Fleet(FleetSettings chosen)
    : settings(std::move(chosen))
    , processes(this->settings.controls + this->settings.entries)
{
    std::filesystem::remove_all(this->settings.folder);
    std::filesystem::create_directories(this->settings.folder);
}

Fleet::~Fleet()
{
    for (std::size_t index = 0; index < this->processes.size(); ++index)
        this->kill(index);
}

std::string Fleet::ip(std::size_t index) const
{
    return "127.78.1." + std::to_string(index + 1);
}

std::string Fleet::dataFolder(std::size_t index) const
{
    return this->settings.folder + "/data" + std::to_string(index);
}

state::Address Fleet::at(std::size_t index, std::uint16_t offset) const
{
    return {this->ip(index), std::uint16_t(this->settings.port + offset)};
}

state::Address Fleet::peers(std::size_t index) const
{
    return this->at(index, gossipPort);
}

state::Address Fleet::own(std::size_t index) const
{
    return this->at(index, peerPort);
}

state::Address Fleet::callers(std::size_t index) const
{
    return this->at(index, callerPort);
}

state::Address Fleet::ready(std::size_t index) const
{
    return this->at(index, readyPort);
}

state::Address Fleet::directory(std::size_t index) const
{
    return this->at(index, directoryPort);
}

state::Address Fleet::operators(std::size_t index) const
{
    return this->at(index, operatorPort);
}

std::vector<state::Address> Fleet::allOperators() const
{
    std::vector<state::Address> all;
    for (std::size_t index = 0; index < this->settings.controls; ++index)
        all.push_back(this->operators(index));
    return all;
}

void Fleet::writeSettings(std::size_t index) const
{
    const auto at = [&](std::uint16_t offset) {
        return "\"" + this->at(index, offset).toString() + "\"";
    };
    std::string seeds;
    for (std::size_t seed = 0; seed < this->settings.founders; ++seed)
        seeds += (seed > 0 ? ", \"" : "\"") + this->operators(seed).toString() + "\"";
    std::ofstream file(this->settings.folder + "/" + std::to_string(index) + ".json");
    file << R"({"cluster": {"name": "soak", "keys": ["soak-cluster-key"], "seed_hosts": [)" << seeds
         << R"(]}, "vm": {"id": "vm)" << index << R"(", "failure_domain": "domain-)" << index % 3
         << R"("}, "entry": {"listen": )" << at(peerPort)
         << R"(, "workers": 1}, "gossip": {"listen": )" << at(gossipPort)
         << R"(, "probe_ms": 300, "suspicion_probes": 2, "bytes_per_second": 8000},)";
    if (this->isControl(index))
        file << R"("control": {"listen": )" << at(gossipPort) << R"(, "data_folder": ")"
             << this->dataFolder(index) << R"(", "admit_when_stale": true, "change_in_force_ms": )"
             << this->settings.changeInForceMs << R"(, "bootstrap": )"
             << (this->processes[index].founded ? "false" : "true")
             << R"(}, "relay": {"operator_listen": )" << at(operatorPort);
    else
        file << R"("control": {"admit_when_stale": true, "change_in_force_ms": )"
             << this->settings.changeInForceMs << R"(}, "relay": {"listen": )" << at(callerPort)
             << R"(, "directory_listen": )" << at(directoryPort) << R"(, "ready_listen": )"
             << at(readyPort);
    file << R"(, "directory_ttl_ms": 500, "heartbeat_ms": 400, "termination_ms": )"
         << this->settings.terminationMs << "}}\n";
}

void Fleet::start(std::size_t index)
{
    this->writeSettings(index);
    const std::string name = this->settings.folder + "/" + std::to_string(index);
    const std::string file = name + ".json";
    const std::string log = name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<std::string> words = {this->settings.binary, "serve", "--settings", file};
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    Process &process = this->processes[index];
    const DescriptorLimit limit(this->settings.descriptors);
    const int problem = posix_spawn(&process.pid, this->settings.binary.c_str(), &actions, nullptr,
                                    arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (problem != 0) {
        process.pid = 0;
        std::cerr << "can't start " << this->settings.binary << '\n';
        return;
    }
    process.asked = false;
    process.founded = true;
}

void Fleet::signal(std::size_t index, int number)
{
    Process &process = this->processes[index];
    if (process.pid == 0)
        return;
    process.asked = process.asked || number == SIGTERM;
    ::kill(process.pid, number);
}

bool Fleet::isRunning(std::size_t index)
{
    Process &process = this->processes[index];
    if (process.pid == 0)
        return false;
    int status = 0;
    if (::waitpid(process.pid, &status, WNOHANG) != process.pid)
        return true;
    process.pid = 0;
    if (!process.asked) {
        ++this->ownExits;
        std::cerr << "process " << index << " ended by itself, status " << status << '\n';
    }
    return false;
}

void Fleet::kill(std::size_t index)
{
    Process &process = this->processes[index];
    if (process.pid == 0)
        return;
    process.asked = true;
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = 0;
}

std::optional<std::size_t> Fleet::ownerOfSocket(const state::Address &local,
                                                const state::Address &remote,
                                                const std::set<std::size_t> &among) const
{
    const auto inode = inodeOfSocket(local, remote);
    if (!inode)
        return std::nullopt;
    const std::string wanted = "socket:[" + std::to_string(*inode) + "]";
    for (const std::size_t index : among) {
        std::error_code problem;
        const std::string folder = "/proc/" + std::to_string(this->processes[index].pid) + "/fd";
        for (const auto &file : std::filesystem::directory_iterator(folder, problem)) {
            std::error_code closed;
            if (std::filesystem::read_symlink(file.path(), closed) == wanted)
                return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> Fleet::leader() const
{
    std::optional<std::size_t> found;
    std::uint64_t newestTerm = 0;
    for (std::size_t index = 0; index < this->settings.controls; ++index) {
        std::ifstream log(this->settings.folder + "/" + std::to_string(index) + ".log");
        std::string line;
        while (std::getline(log, line)) {
            constexpr std::string_view leads = " role=leader term=";
            const std::size_t at = line.find(leads);
            if (at == std::string::npos)
                continue;
            const std::uint64_t term = std::stoull(line.substr(at + leads.size()));
            if (term >= newestTerm)
                found = index;
            newestTerm = std::max(newestTerm, term);
        }
    }
    return found;
}

void Fleet::wipe(std::size_t index)
{
    std::filesystem::remove_all(this->dataFolder(index));
}

void Fleet::tearLog(std::size_t index)
{
    std::filesystem::path newest;
    if (!std::filesystem::exists(this->dataFolder(index)))
        return; // lost, and not made again yet
    for (const auto &file : std::filesystem::directory_iterator(this->dataFolder(index))) {
        const bool segment = file.path().filename().string().find("log") != std::string::npos;
        if (segment && (newest.empty() || file.path() > newest))
            newest = file.path();
    }
    if (newest.empty())
        return;
    std::ofstream torn(newest, std::ios::binary | std::ios::app);
    torn << std::string(37, '\x5a');
}

} // namespace lavenderthread::soak
