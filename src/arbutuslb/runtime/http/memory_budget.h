// The memory of a process that callers, peers and upstreams can make it use: what is being read,
// what is being executed, and what has not been read by its receiver.
//
//   auto budget = std::make_shared<memory_budget>(limits);
//   budget_share share(budget);
//   if (!share.grow(size)) { ... refuse ... }
#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace arbutuslb::runtime::http {

// In bytes.
struct memory_limits {
  // For all shares together.
  std::size_t total = std::numeric_limits<std::size_t>::max();
  // For one share while the others use little: a single large message is served in calm.
  std::size_t single = std::numeric_limits<std::size_t>::max();
};

// Not thread-safe.
class memory_budget {
public:
  explicit memory_budget(memory_limits limits = {}) : limits_(limits) {}

  std::size_t used() const noexcept { return used_; }
  std::size_t refusals() const noexcept { return refusals_; }
  // Returns whether there is no room for `size` more bytes.
  bool is_over(std::size_t size) const noexcept { return used_ + size > limits_.total; }
  // Returns whether stalled messages should make room.
  bool is_scarce() const noexcept { return used_ > limits_.total / 4 * 3; }
  // Returns what each share may hold whatever the others do. All of these together take at most a
  // quarter of the total.
  std::size_t guaranteed() const noexcept {
    return std::min(max_guaranteed, limits_.total / 4 / std::max<std::size_t>(shares_, 1));
  }

private:
  friend class budget_share;
  static constexpr std::size_t max_guaranteed = std::size_t{64} * 1024;

  bool allows(std::size_t held, std::size_t size) const {
    const std::size_t wanted = held + size;
    return used_ + size <= limits_.total || wanted <= guaranteed() ||
           (used_ - held <= limits_.total / 4 && wanted <= limits_.single);
  }

  memory_limits limits_;
  std::size_t used_ = 0;
  std::size_t shares_ = 0;
  std::size_t refusals_ = 0;
};

// A part of a budget, given back by the destructor. Without a budget, everything is allowed.
class budget_share {
public:
  explicit budget_share(std::shared_ptr<memory_budget> budget) : budget_(std::move(budget)) {
    if (budget_) {
      ++budget_->shares_;
    }
  }
  ~budget_share() {
    release();
    if (budget_) {
      --budget_->shares_;
    }
  }
  budget_share(const budget_share&) = delete;
  budget_share& operator=(const budget_share&) = delete;

  // Takes `size` bytes. Returns false, and takes nothing, if the budget does not allow it.
  bool grow(std::size_t size) {
    if (budget_ && !budget_->allows(held_, size)) {
      ++budget_->refusals_;
      return false;
    }
    force(size);
    return true;
  }
  // Takes `size` bytes whatever the budget allows.
  void force(std::size_t size) {
    held_ += size;
    if (budget_) {
      budget_->used_ += size;
    }
  }
  void shrink(std::size_t size) {
    held_ -= size;
    if (budget_) {
      budget_->used_ -= size;
    }
  }
  void release() { shrink(held_); }
  std::size_t held() const noexcept { return held_; }

private:
  std::shared_ptr<memory_budget> budget_;
  std::size_t held_ = 0;
};

} // namespace arbutuslb::runtime::http
