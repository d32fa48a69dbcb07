// cereal input archive that reads from memory what cereal's portable binary output archive writes
// on little-endian machines. A container's length is checked against the remaining bytes before
// memory is allocated: with cereal's own archive, four corrupted bytes of a length make the
// receiver allocate and fill gigabytes.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/common.hpp>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace lavenderthread::protocol {

class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    // `bytes` must outlive the archive. Like all loading functions, throws cereal::Exception.
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , left(bytes)
    {
        std::uint8_t littleEndian = 0;
        this->loadBytes(&littleEndian, sizeof littleEndian);
        if (littleEndian != 1)
            throw cereal::Exception("written by a big-endian machine");
    }

    void loadBytes(void *target, std::size_t size)
    {
        this->checkLength(size);
        std::memcpy(target, this->left.data(), size);
        this->left.remove_prefix(size);
    }

    // Every element of a container takes at least one byte.
    void checkLength(std::uint64_t elements) const
    {
        if (elements > this->left.size())
            throw cereal::Exception("length beyond the end of the message");
    }

    std::size_t bytesLeft() const { return this->left.size(); }

private:
    std::string_view left; // not yet read
};

// cereal looks these functions up by name.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Number,
          std::enable_if_t<std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>, int> = 0>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, Number &number)
{
    if constexpr (std::is_same_v<Number, bool>) {
        // A bool that is neither 0 nor 1 is undefined behaviour wherever it is read.
        std::uint8_t byte = 0;
        archive.loadBytes(&byte, sizeof byte);
        if (byte > 1)
            throw cereal::Exception("neither true nor false");
        number = byte == 1;
    } else {
        archive.loadBytes(&number, sizeof number);
    }
}

// A bool that holds another byte than 0 or 1 is undefined behaviour wherever it is read.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, bool &flag)
{
    std::uint8_t byte = 0;
    archive.loadBytes(&byte, sizeof byte);
    if (byte > 1)
        throw cereal::Exception("not a bool");
    flag = byte == 1;
}

template <typename Size>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<Size> &tag)
{
    archive(tag.size);
    archive.checkLength(tag.size);
}

template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<Element> &data)
{
    archive.loadBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}
// NOLINTEND(readability-identifier-naming)

} // namespace lavenderthread::protocol

// The corresponding output archive; cereal consults its traits for enums and other plain types.
template <>
struct cereal::traits::detail::get_output_from_input<lavenderthread::protocol::BoundedInputArchive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

CEREAL_REGISTER_ARCHIVE(lavenderthread::protocol::BoundedInputArchive)
