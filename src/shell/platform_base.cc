/** @file platform_base.cc Reads the platform by HTTP through libcurl. */

#include "shell/platform_base.h"

#include <curl/curl.h>

#include <memory>

namespace cuminvane {
namespace {

/** A value may have a megabyte; more is refused. */
constexpr size_t kValueLimit = 1 << 20;
/** Time beyond the wait after which the platform is taken to be gone. */
constexpr Milliseconds kAnswerMargin{2000};
constexpr long kHttpOk = 200;
constexpr long kHttpNotModified = 304;

size_t TakeBytes(char* data, size_t size, size_t count, void* user) {
  auto& text = *static_cast<std::string*>(user);
  const size_t bytes = size * count;
  if (text.size() + bytes > kValueLimit)
    return 0;
  text.append(data, bytes);
  return bytes;
}

int StopIfAsked(void* user, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  return static_cast<const std::atomic<bool>*>(user)->load() ? 1 : 0;
}

}  // namespace

Result<PlatformAnswer> WatchPlatform(const Endpoint& platform,
                                     const std::string& key,
                                     uint64_t after,
                                     Milliseconds wait,
                                     const std::atomic<bool>& stop) {
  const std::unique_ptr<CURL, void (*)(CURL*)> curl(curl_easy_init(),
                                                    curl_easy_cleanup);
  if (curl == nullptr)
    return Error{ResultCode::kPlatformUnreachable, "no HTTP client"};
  const std::string url = "http://" + ToString(platform) + "/" + key +
                          "?after=" + std::to_string(after) +
                          "&wait_ms=" + std::to_string(wait.count());
  PlatformAnswer answer;
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>((wait + kAnswerMargin).count()));
  curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(kAnswerMargin.count()));
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, TakeBytes);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &answer.text);
  curl_easy_setopt(curl.get(), CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl.get(), CURLOPT_XFERINFOFUNCTION, StopIfAsked);
  curl_easy_setopt(curl.get(), CURLOPT_XFERINFODATA, &stop);
  const CURLcode failure = curl_easy_perform(curl.get());
  if (failure != CURLE_OK)
    return Error{ResultCode::kPlatformUnreachable, curl_easy_strerror(failure)};
  long status = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  if (status == kHttpNotModified)
    return PlatformAnswer{};
  if (status != kHttpOk)
    return Error{ResultCode::kPlatformUnreachable,
                 "HTTP status " + std::to_string(status)};
  answer.changed = true;
  return answer;
}

}  // namespace cuminvane
