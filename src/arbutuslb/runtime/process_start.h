// What a daemon does while it starts, so that a passing condition of its surroundings does not end
// it: a settings file that is being written, an address that is still in use, a standard stream
// that is closed or whose reader exits. Also how its allocator uses memory from then on.
//
//   protect_standard_streams();
//   return_large_buffers_when_freed();
//   const std::string text = read_settings_text(path);
//   retry_while_address_is_unavailable([&] { host.emplace(settings); });
#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace arbutuslb::runtime {

// A file that is replaced in place is incomplete for less than this.
inline constexpr std::chrono::milliseconds settings_wait{1000};
// A process that has been replaced releases its addresses within this time.
inline constexpr std::chrono::milliseconds address_wait{5000};

// Opens /dev/null in place of each standard stream that is closed, so that no socket takes its
// number, and makes a write to a pipe without a reader fail instead of ending the process.
void protect_standard_streams();

// Makes the allocator give the buffers of large messages back to the system when they are freed. By
// default it keeps buffers of any size that has been freed before, on the heap of each thread.
void return_large_buffers_when_freed();

// Reads the file until it is well-formed JSON with comments, for `settings_wait` at most. Returns
// the last text read; whether it is well-formed is for the caller to report. Throws
// `core::findings_error` if the file cannot be read.
std::string read_settings_text(const std::string& path);

// Calls `bind_addresses` again while it throws `std::system_error` since an address is in use or
// not yet configured, for `address_wait` at most or until `is_cancelled` returns true. Then the
// exception leaves. Writes a line of the log for the first failure.
void retry_while_address_is_unavailable(const std::function<void()>& bind_addresses,
                                        const std::function<bool()>& is_cancelled);

} // namespace arbutuslb::runtime
