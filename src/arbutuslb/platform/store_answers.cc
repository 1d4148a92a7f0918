#include "arbutuslb/platform/store_answers.h"

#include "arbutuslb/core/base/object_reader.h"

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/endian/conversion.hpp>
#include <optional>
#include <stdexcept>

namespace arbutuslb::platform {
namespace {

using core::json;

constexpr std::size_t length_size = 4;
constexpr std::size_t read_header_size = 16; // end offset and first offset

std::string decode_base64(std::string_view text) {
  using namespace boost::archive::iterators;
  using decoder = transform_width<binary_from_base64<const char*>, 8, 6>;
  while (!text.empty() && text.back() == '=') {
    text.remove_suffix(1);
  }
  // Only complete bytes are decoded; the remaining bits are padding.
  const std::size_t size = text.size() * 6 / 8;
  std::string bytes;
  bytes.reserve(size);
  decoder position(text.data());
  for (std::size_t i = 0; i < size; ++i, ++position) {
    bytes.push_back(*position);
  }
  return bytes;
}

// Decodes a record of a keyed topic: one byte with the length of the key, the key, the value.
// Returns `std::nullopt` if the record is too short.
std::optional<store_record> split_record(std::string_view bytes, std::uint64_t offset) {
  if (bytes.empty()) {
    return std::nullopt;
  }
  const std::size_t key_size = static_cast<unsigned char>(bytes.front());
  if (bytes.size() < 1 + key_size) {
    return std::nullopt;
  }
  return store_record{offset, std::string(bytes.substr(1, key_size)),
                      std::string(bytes.substr(1 + key_size))};
}

} // namespace

read_result decode_records(std::string_view bytes, std::uint64_t from_offset) {
  read_result result;
  if (bytes.size() < read_header_size) {
    result.reason = "answer truncated: got " + std::to_string(bytes.size()) +
                    " bytes of a header of " + std::to_string(read_header_size);
    return result;
  }
  const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
  result.end_offset = boost::endian::load_big_u64(data);
  std::uint64_t offset = from_offset;
  std::size_t at = read_header_size;
  while (at + length_size <= bytes.size()) {
    const std::size_t size = boost::endian::load_big_u32(data + at);
    at += length_size;
    if (at + size > bytes.size()) {
      result.reason = "record at offset " + std::to_string(offset) + " truncated: got " +
                      std::to_string(bytes.size() - at) + " of " + std::to_string(size) + " bytes";
      return result;
    }
    // A record that is not in the keyed format is not one of this system and is skipped.
    if (std::optional<store_record> record = split_record(bytes.substr(at, size), offset)) {
      result.records.push_back(std::move(*record));
    }
    at += size;
    ++offset;
  }
  result.next_offset = offset;
  result.status = read_status::ok;
  return result;
}

std::string decode_page(const std::string& body, bool is_first, read_result& result) {
  const json page = core::parse_json_with_comments(body);
  std::string last_key;
  for (const json& item : page.at("items").get_ref<const json::array_t&>()) {
    last_key = item.at("key").get<std::string>();
    result.records.push_back({item.at("offset").get<std::uint64_t>(), last_key,
                              decode_base64(item.at("value").get<std::string>())});
  }
  // Keeps the end offset of the first page, so that records written between two pages are read
  // again from there.
  const std::uint64_t end_offset = page.at("endOffset").get<std::uint64_t>();
  if (is_first) {
    result.end_offset = end_offset;
  }
  if (!page.at("more").get<bool>()) {
    return "";
  }
  if (last_key.empty()) {
    throw std::runtime_error("more records are announced, but there is no key to continue from");
  }
  return last_key;
}

} // namespace arbutuslb::platform
