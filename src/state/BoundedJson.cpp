#include "state/BoundedJson.h"

#include <boost/json/memory_resource.hpp>
#include <boost/json/storage_ptr.hpp>
#include <boost/json/stream_parser.hpp>

#include <new>

namespace lavenderthread::state {

namespace json = boost::json;

namespace {

// Used by one thread: a tree is not shared while it is read.
class BoundedResource final : public json::memory_resource
{
public:
    explicit BoundedResource(std::size_t maximumBytes)
        : left(maximumBytes)
    {}

private:
    // Boost.JSON never asks for more than the default alignment, and may free a block under another
    // one than it was allocated under.
    void *do_allocate(std::size_t bytes, std::size_t /*alignment*/) override
    {
        if (bytes > this->left)
            throw std::bad_alloc();
        void *const block = ::operator new(bytes);
        this->left -= bytes;
        return block;
    }

    void do_deallocate(void *block, std::size_t bytes, std::size_t /*alignment*/) override
    {
        ::operator delete(block);
        this->left += bytes;
    }

    bool do_is_equal(const json::memory_resource &other) const noexcept override
    {
        return this == &other;
    }

    std::size_t left; // bytes
};

} // namespace

json::value parseJson(std::string_view text, boost::system::error_code &problem,
                      std::size_t maximumBytes)
{
    const json::storage_ptr storage = json::make_shared_resource<BoundedResource>(maximumBytes);
    try {
        json::stream_parser parser(storage);
        parser.reset(storage);
        parser.write(text.data(), text.size(), problem);
        if (!problem)
            parser.finish(problem);
        if (!problem)
            return parser.release();
    } catch (const std::bad_alloc &) {
        problem = make_error_code(boost::system::errc::not_enough_memory);
    }
    return nullptr;
}

} // namespace lavenderthread::state
