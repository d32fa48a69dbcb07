// Stores deregistrations on a thread of its own, which alone waits for the disk. What comes while a
// write is under way is written by the next one together.
#pragma once

#include "state/Endpoint.h"
#include "state/Error.h"
#include "transport/storage/DeregistrationFile.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lavenderthread::transport::storage {

class DeregistrationWriter
{
public:
    // Called on the writer's thread: pass on and return.
    struct Hooks
    {
        std::function<void(std::vector<state::Deregistration>)> stored; // in order
        // The first of a series of failures; the write is repeated until it succeeds.
        std::function<void(const state::Error &)> failed;
    };

    DeregistrationWriter(std::unique_ptr<DeregistrationFile> opened, Hooks writerHooks,
                         std::chrono::milliseconds retryPause = std::chrono::milliseconds(500));
    // Finishes what was submitted, or tries to once more.
    ~DeregistrationWriter();
    DeregistrationWriter(const DeregistrationWriter &) = delete;
    DeregistrationWriter &operator=(const DeregistrationWriter &) = delete;

    // Any thread.
    void submit(const std::vector<state::Deregistration> &deregistrations);

private:
    void run();
    // Returns whether the batch is durable.
    bool write(const std::vector<state::Deregistration> &batch);

    std::unique_ptr<DeregistrationFile> file; // used by the writer's thread only
    Hooks hooks;
    std::chrono::milliseconds retryPause;
    bool hasFailed = false; // on the writer's thread
    std::mutex mutex;       // guards what follows; never held while the file is touched
    std::condition_variable changed;
    std::vector<state::Deregistration> waiting;
    bool stopping = false;
    std::thread thread; // last member: it uses all the others
};

} // namespace lavenderthread::transport::storage
