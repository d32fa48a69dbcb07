// Patches are Zstandard frames that use the base as prefix and carry a checksum of the text.
#include "protocol/TextPatch.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace lavenderthread::protocol {

namespace {

constexpr const char *step = "patch.apply";
// The fastest level that still finds a moved range of the base.
constexpr int compressionLevel = 3;
constexpr int minWindowBits = 10;
constexpr int maxWindowBits = 24;

// The window has to cover the whole base.
int windowBits(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), minWindowBits, maxWindowBits);
}

} // namespace

std::string makeTextPatch(std::string_view base, std::string_view text)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(),
                                                                       &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowBits(base.size() + text.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, base.empty() ? 0 : 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string patch(ZSTD_compressBound(text.size()), '\0');
    const std::size_t bytes =
            ZSTD_compress2(context.get(), patch.data(), patch.size(), text.data(), text.size());
    // This fails only when out of memory; the receiver rejects the empty patch.
    patch.resize(ZSTD_isError(bytes) == 0 ? bytes : 0);
    return patch;
}

state::Result<std::string> applyTextPatch(std::string_view base, std::string_view patch,
                                          std::size_t maxBytes)
{
    const unsigned long long bytes = ZSTD_getFrameContentSize(patch.data(), patch.size());
    if (bytes == ZSTD_CONTENTSIZE_UNKNOWN || bytes == ZSTD_CONTENTSIZE_ERROR || bytes > maxBytes)
        return state::makeError(state::ErrorCode::Corrupt, step, "bad size");
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(),
                                                                       &ZSTD_freeDCtx);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(bytes, '\0');
    const std::size_t written = ZSTD_decompressDCtx(context.get(), text.data(), text.size(),
                                                    patch.data(), patch.size());
    if (ZSTD_isError(written) != 0)
        return state::makeError(state::ErrorCode::Corrupt, step, ZSTD_getErrorName(written));
    if (written != text.size())
        return state::makeError(state::ErrorCode::Corrupt, step, "shorter than announced");
    return text;
}

} // namespace lavenderthread::protocol
