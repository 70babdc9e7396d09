/** @file frame_type.h Frames on connections between balancers: a length of four
 * bytes in network order, then that many bytes. */

#ifndef CUMINVANE_SHELL_FRAME_TYPE_H_
#define CUMINVANE_SHELL_FRAME_TYPE_H_

#include <array>
#include <cstdint>
#include <string>

#include "base/time_type.h"

namespace cuminvane {

/** Size of a frame's length field in bytes. */
inline constexpr size_t kFrameLengthBytes = 4;
/** A connection without progress for this time is closed. The whole transfer
 * has no time limit, since it may share a slow link. */
inline constexpr Milliseconds kProgressTimeout{1500};

using FrameLength = std::array<unsigned char, kFrameLengthBytes>;

/** @return The length field of a frame with that many bytes. */
inline FrameLength EncodeFrameLength(uint32_t bytes) {
  return {static_cast<unsigned char>(bytes >> 24),
          static_cast<unsigned char>(bytes >> 16),
          static_cast<unsigned char>(bytes >> 8),
          static_cast<unsigned char>(bytes)};
}

/** @return The number of bytes that follow the length field. */
inline uint32_t DecodeFrameLength(const FrameLength& field) {
  return static_cast<uint32_t>(field[0]) << 24 |
         static_cast<uint32_t>(field[1]) << 16 |
         static_cast<uint32_t>(field[2]) << 8 | field[3];
}

/** Appends a frame with the bytes. */
inline void AppendFrame(std::string& out, const std::string& bytes) {
  for (const unsigned char byte :
       EncodeFrameLength(static_cast<uint32_t>(bytes.size())))
    out.push_back(static_cast<char>(byte));
  out += bytes;
}

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_FRAME_TYPE_H_
