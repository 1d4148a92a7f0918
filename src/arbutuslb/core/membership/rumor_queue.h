// Membership updates that are still to be passed on with other messages.
//
// Each update goes out a number of times that grows with the logarithm of the fleet; the updates
// that went out least often go first.
#pragma once

#include "arbutuslb/core/membership/member.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace arbutuslb::core::membership {

class rumor_queue {
public:
  // Replaces an older update about the same member.
  void add(const member& update) { rumors_[update.id] = rumor{update, 0}; }

  // Returns up to `count` updates and notes that each went out once. `fleet_size` is the number of
  // members that are to learn of them. O(queue * log count).
  std::vector<member> take(std::size_t count, std::size_t fleet_size) {
    std::vector<rumor*> order;
    for (auto& [id, item] : rumors_) {
      order.push_back(&item);
    }
    const std::size_t taken = std::min(count, order.size());
    const auto went_out_less = [](const rumor* left, const rumor* right) {
      return left->sent < right->sent;
    };
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(taken),
                      order.end(), went_out_less);
    std::vector<member> updates;
    for (std::size_t i = 0; i < taken; ++i) {
      ++order[i]->sent;
      updates.push_back(order[i]->update);
    }
    const int limit = transmissions(fleet_size);
    std::erase_if(rumors_, [limit](const auto& item) { return item.second.sent >= limit; });
    return updates;
  }

  static int transmissions(std::size_t fleet_size) {
    return 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(fleet_size) + 2.0)));
  }

private:
  struct rumor {
    member update;
    int sent = 0;
  };
  std::map<member_id, rumor> rumors_;
};

} // namespace arbutuslb::core::membership
