//===- lib/Support/Compression.cpp - compression with zlib -----------------===//
///
/// \file
/// Compresses and decompresses one text as one zlib stream.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Support.h"

#include <cassert>
#include <zlib.h>

namespace pistachioloom {

std::string compress(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(size, '\0');
    int code = compress2(reinterpret_cast<Bytef*>(bytes.data()), &size, reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
    assert(code == Z_OK && "compressBound() is an upper bound for any text");
    bytes.resize(code == Z_OK ? size : 0);
    return bytes;
}

Result<std::string> decompress(std::string_view bytes, ByteCount maxSize)
{
    constexpr std::size_t chunkSize = 64UL * 1024;
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        return Error { Errc::Unavailable, "decompress", {}, "zlib cannot start", Ran::No, {} };
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string text;
    int code = Z_OK;
    while (code == Z_OK && text.size() <= maxSize.value_) {
        std::size_t before = text.size();
        text.resize(before + chunkSize);
        stream.next_out = reinterpret_cast<Bytef*>(text.data() + before);
        stream.avail_out = chunkSize;
        code = inflate(&stream, Z_NO_FLUSH);
        text.resize(before + chunkSize - stream.avail_out);
    }
    inflateEnd(&stream);
    if (code == Z_STREAM_END && text.size() <= maxSize.value_)
        return text;
    bool isTooLarge = text.size() > maxSize.value_;
    return Error { Errc::Protocol, "decompress", {}, isTooLarge ? "more than " + std::to_string(maxSize.value_) + " bytes" : "not a whole zlib stream", Ran::No, {} };
}

} // namespace pistachioloom
