/** @file net.h Clock, record, sockets and base64 for the stand-ins. */

#ifndef REVIEW_STANDIN_NET_H_
#define REVIEW_STANDIN_NET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <compare>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** Exit code of a case that could not run. */
inline constexpr int kCouldNotRun = 2;

/** @return Milliseconds since the first call. */
inline int64_t NowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               start)
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Sleeps until NowMs() reaches `at`. */
inline void SleepUntil(int64_t at) {
  while (NowMs() < at)
    SleepMs(std::min<int64_t>(10, at - NowMs()));
}

/** Writes lines with the time to record.txt. */
class Record {
 public:
  static void Open(const std::string& path) {
    File() = std::fopen(path.c_str(), "w");
    if (File() == nullptr) {
      std::perror(path.c_str());
      std::exit(kCouldNotRun);
    }
    NowMs();
  }
  static void Line(const std::string& text) {
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    if (File() == nullptr)
      return;
    std::fprintf(File(), "%8.3f %s\n", static_cast<double>(NowMs()) / 1000,
                 text.c_str());
    std::fflush(File());
  }

 private:
  static std::FILE*& File() {
    static std::FILE* file = nullptr;
    return file;
  }
};

/** An IPv4 address with a port, in host byte order. */
struct Address {
  uint32_t ip = 0;
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  sockaddr_in Sockaddr() const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(this->ip);
    address.sin_port = htons(this->port);
    return address;
  }
};

inline std::string IpText(uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

inline std::string Text(const Address& address) {
  return IpText(address.ip) + ":" + std::to_string(address.port);
}

/** Ends the process if `ok` is false. */
inline void Require(bool ok, const std::string& what) {
  if (ok)
    return;
  Record::Line("could not run: " + what + ": " + std::strerror(errno));
  std::fprintf(stderr, "could not run: %s: %s\n", what.c_str(),
               std::strerror(errno));
  std::exit(kCouldNotRun);
}

/** @return A bound socket, listening if it is a stream. */
inline int Bind(const Address& address, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  Require(fd >= 0, "socket");
  const int on = 1;
  if (type == SOCK_STREAM)
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in to = address.Sockaddr();
  Require(bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0,
          "bind " + Text(address));
  if (type == SOCK_STREAM)
    Require(listen(fd, 128) == 0, "listen " + Text(address));
  return fd;
}

/** @return Whether both protocols can use the port on all addresses. */
inline bool IsPortFree(uint16_t port) {
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in to = Address{0, port}.Sockaddr();
    const bool is_free =
        fd >= 0 &&
        bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0;
    if (fd >= 0)
      close(fd);
    if (!is_free)
      return false;
  }
  return true;
}

/** @return A free port that was not returned before. */
inline uint16_t FreePort() {
  static uint16_t next = static_cast<uint16_t>(12000 + getpid() % 400 * 40);
  for (int tries = 0; tries < 4000; ++tries) {
    const uint16_t port = next++;
    if (port > 1024 && IsPortFree(port))
      return port;
  }
  Require(false, "no free port");
  return 0;
}

/** Sends all bytes. @return Whether the peer took them. */
inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

/** @return The head of the next HTTP request without a body; no value at the
 * end of the connection. @param buffer Bytes read ahead. */
inline std::optional<std::string> ReadHead(int fd, std::string& buffer) {
  for (;;) {
    const size_t end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::string head = buffer.substr(0, end);
      buffer.erase(0, end + 4);
      return head;
    }
    char bytes[4096];
    const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
    if (count <= 0)
      return std::nullopt;
    buffer.append(bytes, static_cast<size_t>(count));
  }
}

/** @return HTTP status of a GET; 0 without an answer within a second. */
inline int HttpStatus(const Address& address, const std::string& path) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in to = address.Sockaddr();
  int status = 0;
  std::string buffer;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 &&
      SendAll(fd, "GET " + path + " HTTP/1.1\r\nHost: " + Text(address) +
                      "\r\nConnection: close\r\n\r\n")) {
    const std::optional<std::string> head = ReadHead(fd, buffer);
    if (head && head->size() > 12)
      status = std::atoi(head->c_str() + 9);
  }
  close(fd);
  return status;
}

/** @return Standard base64 with padding. */
inline std::string Base64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve(bytes.size() * 4 / 3 + 4);
  for (size_t index = 0; index < bytes.size(); index += 3) {
    uint32_t group = 0;
    for (size_t step = 0; step < 3; ++step)
      group = group << 8 | (index + step < bytes.size()
                                ? static_cast<uint8_t>(bytes[index + step])
                                : 0);
    for (size_t step = 0; step < 4; ++step)
      text += index + step <= bytes.size()
                  ? kDigits[group >> (18 - 6 * step) & 63]
                  : '=';
  }
  return text;
}

}  // namespace review

#endif  // REVIEW_STANDIN_NET_H_
