// A queue of membership updates to disseminate by gossip, piggybacked on other messages.
//
// Each update is sent a number of times that grows with the logarithm of the fleet size. Updates
// that were sent least often are sent first.
#pragma once

#include "arbutuslb/core/membership/member.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace arbutuslb::core::membership {

class rumor_queue {
public:
  // Adds `update`, which replaces a queued update about the same member.
  void add(const member& update) { rumors_[update.id] = rumor{update, 0}; }

  // Returns up to `count` updates and counts each as sent once. Updates that have been sent
  // `transmission_limit(fleet_size)` times are removed. O(queue * log count).
  std::vector<member> take(std::size_t count, std::size_t fleet_size) {
    std::vector<rumor*> order;
    for (auto& [id, item] : rumors_) {
      order.push_back(&item);
    }
    const std::size_t taken = std::min(count, order.size());
    const auto was_sent_less_often = [](const rumor* left, const rumor* right) {
      return left->sent < right->sent;
    };
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(taken),
                      order.end(), was_sent_less_often);
    std::vector<member> updates;
    for (std::size_t i = 0; i < taken; ++i) {
      ++order[i]->sent;
      updates.push_back(order[i]->update);
    }
    const int limit = transmission_limit(fleet_size);
    std::erase_if(rumors_, [limit](const auto& item) { return item.second.sent >= limit; });
    return updates;
  }

  // Returns how often each update is sent in a fleet of `fleet_size` members.
  static int transmission_limit(std::size_t fleet_size) {
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
