#include "arbutuslb/runtime/compression.h"

#include <array>
#include <stdexcept>
#include <zlib.h>

namespace arbutuslb::runtime {

std::string compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string out(size, '\0');
  const int result =
      compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  if (result != Z_OK) {
    throw std::runtime_error("zlib compress2 failed with code " + std::to_string(result));
  }
  out.resize(size);
  return out;
}

std::string decompress(std::string_view bytes, std::size_t max_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    throw std::runtime_error("zlib inflateInit failed");
  }
  stream.next_in = const_cast<Bytef*>(reinterpret_cast<const Bytef*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  constexpr std::size_t chunk_size = std::size_t{16} * 1024;
  std::array<char, chunk_size> chunk{};
  std::string out;
  int result = Z_OK;
  while (result == Z_OK && out.size() <= max_bytes) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = chunk_size;
    result = inflate(&stream, Z_NO_FLUSH);
    out.append(chunk.data(), chunk_size - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END || out.size() > max_bytes) {
    throw std::runtime_error("compressed data is malformed or exceeds " +
                             std::to_string(max_bytes) + " bytes when decompressed");
  }
  return out;
}

} // namespace arbutuslb::runtime
