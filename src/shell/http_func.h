/** @file http_func.h Sends HTTP answers through libmicrohttpd. */

#ifndef CUMINVANE_SHELL_HTTP_FUNC_H_
#define CUMINVANE_SHELL_HTTP_FUNC_H_

#include <microhttpd.h>

#include <string>

namespace cuminvane {

/**
 * Queues the answer to an HTTP request.
 * @param connection Connection of the request.
 * @param status HTTP status code.
 * @param text Body; copied.
 * @param type Value of the Content-Type header; null sends no such header.
 * @return MHD_YES if the library accepted the answer.
 */
MHD_Result ReplyText(MHD_Connection* connection,
                     unsigned status,
                     const std::string& text,
                     const char* type = nullptr);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_HTTP_FUNC_H_
