#include "arbutuslb/runtime/process_start.h"

#include "arbutuslb/core/base/finding.h"
#include "arbutuslb/core/base/object_reader.h"
#include "arbutuslb/runtime/settings.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <malloc.h>
#include <optional>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace arbutuslb::runtime {
namespace {

constexpr std::chrono::milliseconds retry_period{50};
// Buffers of this size or more get pages of their own.
constexpr int large_buffer_size = 128 * 1024;

using steady = std::chrono::steady_clock;

bool is_well_formed(const std::string& text) {
  try {
    core::parse_json_with_comments(text);
    return true;
  } catch (const core::findings_error&) {
    return false;
  }
}

} // namespace

void protect_standard_streams() {
  for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (fcntl(descriptor, F_GETFD) == -1 && errno == EBADF &&
        open("/dev/null", O_RDWR) == -1) { // takes the lowest free number, which is this one
      throw std::system_error(errno, std::generic_category(), "cannot open /dev/null");
    }
  }
  std::signal(SIGPIPE, SIG_IGN);
}

void return_large_buffers_when_freed() {
  mallopt(M_MMAP_THRESHOLD, large_buffer_size);
}

std::string read_settings_text(const std::string& path) {
  const steady::time_point limit = steady::now() + settings_wait;
  while (true) {
    const bool is_last = steady::now() >= limit;
    try {
      std::string text = read_file(path);
      if (is_last || is_well_formed(text)) {
        return text;
      }
    } catch (const core::findings_error&) {
      if (is_last) {
        throw;
      }
    }
    std::this_thread::sleep_for(retry_period);
  }
}

void retry_while_address_is_unavailable(const std::function<void()>& bind_addresses,
                                        const std::function<bool()>& is_cancelled) {
  const steady::time_point limit = steady::now() + address_wait;
  bool is_logged = false;
  while (true) {
    try {
      bind_addresses();
      return;
    } catch (const std::system_error& error) {
      // The category of the code is that of the network library, which maps to no std::errc.
      const int number = error.code().value();
      const bool is_transient = number == EADDRINUSE || number == EADDRNOTAVAIL;
      if (!is_transient || steady::now() >= limit || is_cancelled()) {
        throw;
      }
      if (!is_logged) {
        is_logged = true;
        std::cerr << "event=address_unavailable reason=\"" << error.what() << "\"\n";
      }
    }
    std::this_thread::sleep_for(retry_period);
  }
}

} // namespace arbutuslb::runtime
