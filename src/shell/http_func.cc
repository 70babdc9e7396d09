/** @file http_func.cc HTTP answers through libmicrohttpd. */

#include "shell/http_func.h"

namespace cuminvane {

MHD_Result ReplyText(MHD_Connection* connection,
                     unsigned status,
                     const std::string& text,
                     const char* type) {
  MHD_Response* const response = MHD_create_response_from_buffer(
      text.size(), const_cast<char*>(text.data()), MHD_RESPMEM_MUST_COPY);
  if (type != nullptr)
    MHD_add_response_header(response, "Content-Type", type);
  const MHD_Result queued = MHD_queue_response(connection, status, response);
  MHD_destroy_response(response);
  return queued;
}

}  // namespace cuminvane
