// Compression by zlib of the records that daemons relay to each other.
#pragma once

#include <string>
#include <string_view>

namespace arbutuslb::runtime {

std::string compress(std::string_view bytes);

// Throws `std::runtime_error` if the bytes are malformed or would grow beyond `max_bytes`.
std::string decompress(std::string_view bytes, std::size_t max_bytes);

} // namespace arbutuslb::runtime
