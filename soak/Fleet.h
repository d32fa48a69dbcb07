// The processes of the system under test: settings, start, signals, restart. Ends only what it has
// started, by its process ids.
#pragma once

#include "state/Address.h"

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::soak {

struct FleetSettings
{
    std::string binary;
    std::string folder; // for settings, logs and data; made anew
    std::size_t controls = 3;
    std::size_t founders = 3; // the first controls, which all processes are told as seeds
    std::size_t entries = 4;
    std::uint32_t changeInForceMs = 2'500;
    std::uint32_t terminationMs = 4'000; // from SIGTERM until an operator would kill a process
    std::uint16_t port = 0; // first of six that every process uses, each at its own loopback IP
    std::uint64_t descriptors = 0; // that a process may open; 0: as this one
};

class Fleet
{
public:
    explicit Fleet(FleetSettings chosen);
    ~Fleet(); // kills what still runs
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    // Processes are numbered: the controls first, then the entries.
    std::size_t size() const { return this->processes.size(); }
    bool isControl(std::size_t index) const { return index < this->settings.controls; }
    std::size_t founderCount() const { return this->settings.founders; }
    // The control that was the last one to become leader, from the logs; nothing if none leads.
    std::optional<std::size_t> leader() const;
    void start(std::size_t index);
    void signal(std::size_t index, int number);
    bool isRunning(std::size_t index); // reaps one that has ended
    void kill(std::size_t index);
    void wipe(std::size_t index);    // its data folder; it must not run
    void tearLog(std::size_t index); // leaves a torn write behind; it must not run
    // Which of these processes has the TCP socket at `local` whose peer is `remote`.
    std::optional<std::size_t> ownerOfSocket(const state::Address &local,
                                             const state::Address &remote,
                                             const std::set<std::size_t> &among) const;
    std::uint64_t exitsOfItsOwn() const { return this->ownExits; }

    pid_t pid(std::size_t index) const { return this->processes[index].pid; } // 0: does not run
    std::string ip(std::size_t index) const;
    state::Address peers(std::size_t index) const;     // TCP, of a control member
    state::Address own(std::size_t index) const;       // the product's own interface
    state::Address callers(std::size_t index) const;   // of an entry
    state::Address ready(std::size_t index) const;     // of an entry
    state::Address directory(std::size_t index) const; // of an entry
    state::Address operators(std::size_t index) const; // of a control member
    std::vector<state::Address> allOperators() const;

private:
    struct Process
    {
        pid_t pid = 0;        // 0: does not run
        bool asked = false;   // told to end
        bool founded = false; // has run before
    };

    state::Address at(std::size_t index, std::uint16_t offset) const;
    std::string dataFolder(std::size_t index) const;
    void writeSettings(std::size_t index) const;

    FleetSettings settings;
    std::vector<Process> processes;
    std::uint64_t ownExits = 0;
};

} // namespace lavenderthread::soak
