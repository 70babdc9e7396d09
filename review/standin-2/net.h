// Sockets, clock, HTTP and base64 for the stand-ins of this review.
#ifndef REVIEW_STANDIN_2_NET_H_
#define REVIEW_STANDIN_2_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

namespace review {

struct Address {
  uint32_t ip = 0;
  uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

inline Address FromSockaddr(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

inline uint32_t Ip(int a, int b, int c, int d) {
  return static_cast<uint32_t>(a) << 24 | static_cast<uint32_t>(b) << 16 |
         static_cast<uint32_t>(c) << 8 | static_cast<uint32_t>(d);
}

inline std::string ToString(uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

inline std::string ToString(const Address& address) {
  return ToString(address.ip) + ":" + std::to_string(address.port);
}

/** Milliseconds since the start of the process. */
inline int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** @return A bound socket, or -1. */
inline int Bind(int type, const Address& address) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM)
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const int bytes = 4 << 20;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  const sockaddr_in to = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 256) != 0)) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int BindOrThrow(int type, const Address& address) {
  const int fd = Bind(type, address);
  if (fd < 0)
    throw std::runtime_error("can't bind " + ToString(address));
  return fd;
}

/** @return A port that is free for UDP and TCP at all the addresses. */
inline uint16_t FindFreePort(const std::string& /*purpose*/,
                             const std::initializer_list<uint32_t>& ips) {
  static uint16_t next = static_cast<uint16_t>(20000 + (getpid() * 37) % 10000);
  for (int tries = 0; tries < 2000; ++tries) {
    const uint16_t port = next++;
    bool free = true;
    for (const uint32_t ip : ips) {
      for (const int type : {SOCK_DGRAM, SOCK_STREAM}) {
        const int fd = Bind(type, {ip, port});
        free = free && fd >= 0;
        if (fd >= 0)
          close(fd);
      }
    }
    if (free)
      return port;
  }
  throw std::runtime_error("no free port");
}

inline bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

/** Reads one request head without a body. @return False at the end. */
inline bool ReadHead(int fd, std::string& buffer, std::string& head) {
  for (;;) {
    const size_t end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      head = buffer.substr(0, end + 4);
      buffer.erase(0, end + 4);
      return true;
    }
    char bytes[4096];
    const ssize_t read = recv(fd, bytes, sizeof(bytes), 0);
    if (read <= 0 || buffer.size() > 65536)
      return false;
    buffer.append(bytes, static_cast<size_t>(read));
  }
}

/** @return The status of GET path, or 0 without an answer in time. */
inline int HttpStatus(const Address& to, const std::string& path, int ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = ToSockaddr(to);
  connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  pollfd wait{fd, POLLOUT, 0};
  int status = 0;
  if (poll(&wait, 1, ms) == 1) {
    const std::string request = "GET " + path +
                                " HTTP/1.1\r\nHost: " + ToString(to) +
                                "\r\nConnection: close\r\n\r\n";
    if (WriteAll(fd, request)) {
      wait.events = POLLIN;
      char bytes[256];
      if (poll(&wait, 1, ms) == 1) {
        const ssize_t read = recv(fd, bytes, sizeof(bytes) - 1, 0);
        if (read > 12) {
          bytes[read] = 0;
          status = atoi(bytes + 9);
        }
      }
    }
  }
  close(fd);
  return status;
}

inline std::string Base64(std::string_view bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (size_t at = 0; at < bytes.size(); at += 3) {
    uint32_t group = 0;
    for (size_t index = 0; index < 3; ++index)
      group = group << 8 | (at + index < bytes.size()
                                ? static_cast<unsigned char>(bytes[at + index])
                                : 0);
    for (size_t index = 0; index < 4; ++index)
      text += index <= bytes.size() - at
                  ? kDigits[group >> 6 * (3 - index) & 63]
                  : '=';
  }
  return text;
}

/** Lines with a time, for record.txt. */
class Record {
 public:
  explicit Record(const std::string& path) : file(fopen(path.c_str(), "w")) {
    if (this->file == nullptr)
      throw std::runtime_error("can't write " + path);
  }
  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    fprintf(this->file, "%8lld ms  %s\n", static_cast<long long>(NowMs()),
            text.c_str());
    fflush(this->file);
  }

 private:
  std::mutex mutex;
  FILE* file;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_NET_H_
