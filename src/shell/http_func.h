/** @file http_func.h Answers through libmicrohttpd. */

#ifndef CUMINVANE_SHELL_HTTP_FUNC_H_
#define CUMINVANE_SHELL_HTTP_FUNC_H_

#include <microhttpd.h>

#include <string>

namespace cuminvane {

/**
 * Answers a request.
 * @param status Code of HTTP.
 * @param type Content type; null: none is told.
 * @return Whether the library took the answer.
 */
MHD_Result ReplyText(MHD_Connection* connection,
                     unsigned status,
                     const std::string& text,
                     const char* type = nullptr);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_HTTP_FUNC_H_
