// Bounds the memory of answers, events and lines that are kept until they are whole, over all
// requests of a process.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace lavenderthread::program {

class AnswerBuffers
{
public:
    struct Settings
    {
        std::size_t maximumAnswer = 16U << 20U; // bytes of one answer
        // The first bytes of an answer don't count: short answers are kept beside any long ones.
        std::size_t uncounted = 256U << 10U;
        std::size_t maximumCounted = 32U << 20U; // of all answers together
    };

    // `pressed` is called, from any thread, when little room is left.
    explicit AnswerBuffers(
            Settings chosen, std::function<void()> pressed = [] {})
        : settings(chosen)
        , pressed(std::move(pressed))
    {}
    AnswerBuffers()
        : AnswerBuffers(Settings{})
    {}

    std::size_t maximumAnswer() const { return this->settings.maximumAnswer; }
    std::size_t counted() const
    {
        const std::lock_guard lock(this->mutex);
        return this->held;
    }

    // What one answer holds; given back when it goes out of scope.
    class Share
    {
    public:
        explicit Share(std::shared_ptr<AnswerBuffers> buffers)
            : buffers(std::move(buffers))
        {}
        ~Share() { this->buffers->release(this->counted); }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        // So many bytes are kept now. False if that is more than may be kept.
        bool resizeTo(std::size_t bytes)
        {
            const AnswerBuffers::Settings &limits = this->buffers->settings;
            if (bytes > limits.maximumAnswer)
                return false;
            const std::size_t wanted = bytes > limits.uncounted ? bytes - limits.uncounted : 0;
            if (wanted > this->counted && !this->buffers->take(wanted - this->counted))
                return false;
            if (wanted < this->counted)
                this->buffers->release(this->counted - wanted);
            this->counted = wanted;
            return true;
        }

    private:
        // Requests that are still suspended at shutdown outlive the relay.
        std::shared_ptr<AnswerBuffers> buffers; // never null
        std::size_t counted = 0;                // bytes taken from `buffers`
    };

private:
    bool take(std::size_t bytes)
    {
        const std::size_t little = this->settings.maximumCounted / 4 * 3;
        std::unique_lock lock(this->mutex);
        const std::size_t before = this->held;
        const bool hasRoom = before + bytes <= this->settings.maximumCounted;
        if (hasRoom)
            this->held += bytes;
        const bool isPressed = !hasRoom || (before <= little && this->held > little);
        lock.unlock();
        if (isPressed)
            this->pressed();
        return hasRoom;
    }
    void release(std::size_t bytes)
    {
        const std::lock_guard lock(this->mutex);
        this->held -= bytes;
    }

    const Settings settings;
    const std::function<void()> pressed;
    mutable std::mutex mutex;
    std::size_t held = 0; // the sum of all shares
};

} // namespace lavenderthread::program
