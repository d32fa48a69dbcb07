// Read-copy-update cell: many threads read an immutable value; one writer at a time replaces it.
#pragma once

#include <boost/smart_ptr/atomic_shared_ptr.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <utility>

namespace lavenderthread::state {

// A reader's reference to a value; the value lives as long as any view of it.
template <typename Value>
using SnapshotView = boost::shared_ptr<const Value>;

// Readers take a reference-counted view and keep it as long as they like; publish never waits for
// them. Invariant: the cell always holds a value, so read() never returns null.
// Uses boost::atomic_shared_ptr and not std::atomic<std::shared_ptr>: libstdc++ 12 unlocks its
// pointer with relaxed order after a load, which the thread sanitizer reports as a race of load and
// store.
template <typename Value>
class Snapshot
{
public:
    explicit Snapshot(Value first = {})
        : current(boost::make_shared<const Value>(std::move(first)))
    {}

    SnapshotView<Value> read() const { return this->current.load(); }

    void publish(Value next)
    {
        this->current.store(boost::make_shared<const Value>(std::move(next)));
    }

private:
    boost::atomic_shared_ptr<const Value> current;
};

} // namespace lavenderthread::state
