#include "arbutuslb/core/duties/mesh_clock.h"

#include <algorithm>
#include <vector>

namespace arbutuslb::core::duties {
namespace {

// A daemon reports every half second; a sample outlives the silence of a short partition.
constexpr std::chrono::seconds sample_retention{10};

} // namespace

void mesh_clock::on_sample(const std::string& host, duration offset, time_point now) {
  samples_[host] = {offset, now};
}

void mesh_clock::remove_old(time_point now) {
  std::erase_if(samples_,
                [now](const auto& item) { return now - item.second.received > sample_retention; });
}

duration mesh_clock::offset(time_point now) const {
  std::vector<duration> offsets{duration::zero()};
  for (const auto& [host, item] : samples_) {
    if (now - item.received <= sample_retention) {
      offsets.push_back(item.offset);
    }
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

std::size_t mesh_clock::size(time_point now) const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(samples_.begin(), samples_.end(), [now](const auto& item) {
                   return now - item.second.received <= sample_retention;
                 }));
}

} // namespace arbutuslb::core::duties
