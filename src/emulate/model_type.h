/** @file model_type.h Packets, requests, answers and reliable transport of the
 * emulated ends of opaque flows. */

#ifndef CUMINVANE_EMULATE_MODEL_TYPE_H_
#define CUMINVANE_EMULATE_MODEL_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "packet/packet_type.h"

namespace cuminvane::emulate {

/** Largest payload of one packet, in bytes. */
inline constexpr size_t kMaxSegmentBytes = 1200;
/** Time without an acknowledgement after which the oldest segment is
 * retransmitted for the first time. The time doubles with each further
 * retransmission, up to kMaxRetransmissionTimeout. */
inline constexpr Milliseconds kInitialRetransmissionTimeout{200};
inline constexpr Milliseconds kMaxRetransmissionTimeout{1600};

/** A packet between the two ends of a flow. */
struct ModelPacket {
  FlowKey key;  ///< The same in both directions.
  bool from_caller = true;
  uint32_t sequence = 0;      ///< Sequence number of the first payload byte.
  uint32_t acknowledged = 0;  ///< Next sequence number that the sender expects;
                              ///< in an opening packet: the number of earlier
                              ///< transmissions of it.
  FlowTag tag;
  bool opens = false;  ///< Opening packet, or, with `acknowledges`, the backend
                       ///< server's reply to it.
  bool acknowledges = false;  ///< Set by backend servers in all packets but
                              ///< resets.
  bool closes = false;
  bool resets = false;
  std::string payload;
  uint64_t checksum = 0;  ///< ChecksumOf() the packet as its sender wrote it.

  bool operator==(const ModelPacket&) const = default;
};

/** @return Checksum over the packet's fields. The tag is left out because
 * balancers rewrite it. */
uint64_t ChecksumOf(const ModelPacket& packet);

/** A request. */
struct ModelRequest {
  uint64_t id = 0;            ///< 0 if the payload was no request.
  Microseconds work{0};       ///< Time for which it occupies a slot.
  uint32_t answer_bytes = 0;  ///< Size of the answer's body in bytes.

  bool operator==(const ModelRequest&) const = default;
};

/** @return The request as the payload of a packet. */
std::string FormatRequest(const ModelRequest& request);
/** @return The request; its id is 0 if the payload is no request. */
ModelRequest ParseRequest(const std::string& payload);

/** Result of a request, contained in the first line of its answer. kDone: the
 * request ran; kShed: the backend server's queue was full; kFailed: the backend
 * server failed it without running it. */
enum class AnswerKind : uint8_t { kDone, kShed, kFailed };

/** @return The answer as payload: a line of text, and, for kDone, a body of the
 * requested size. */
std::string FormatAnswer(const ModelRequest& request, AnswerKind kind);

/** An answer as its caller parses it. */
struct ModelAnswer {
  uint64_t id = 0;  ///< Id of the answered request; 0 if the payload was no
                    ///< answer.
  AnswerKind kind = AnswerKind::kFailed;
  bool is_intact = false;  ///< The body has the size that the first line
                           ///< names, and contains no foreign bytes.

  bool operator==(const ModelAnswer&) const = default;
};

/** @return The answer; its id is 0 if the payload is no answer. */
ModelAnswer ParseAnswer(const std::string& payload);

/** The sending half of a reliable byte stream: splits data into segments and
 * retransmits the oldest one until it is acknowledged. */
class Sender {
 public:
  /** @param sequence Sequence number of the first byte. */
  explicit Sender(uint32_t sequence)
      : next_sequence(sequence), first_unacknowledged(sequence) {}

  /** Queues bytes for sending. */
  void Write(TimePoint now, const std::string& bytes);
  /** @param acknowledged Next sequence number that the receiver expects. */
  void OnAcknowledged(TimePoint now, uint32_t acknowledged);
  /** Adds the segments that are due to `out`, each as a packet with the header
   * fields of `header`. */
  void Tick(TimePoint now,
            const ModelPacket& header,
            std::vector<ModelPacket>& out);

  /** @return Whether everything has been acknowledged. */
  bool IsIdle() const { return this->segments.empty(); }
  /** @return Retransmissions of the oldest segment since the last
   * acknowledgement. */
  int Retransmissions() const { return this->retransmissions; }
  /** @return Sequence number after the last byte written. */
  uint32_t EndSequence() const { return this->next_sequence; }

 private:
  struct Segment {
    uint32_t sequence = 0;
    std::string bytes;
    bool sent = false;  ///< Sent at least once.
  };

  uint32_t next_sequence;         ///< Sequence number of the next byte to be
                                  ///< written.
  uint32_t first_unacknowledged;  ///< Sequence number of the first byte that
                                  ///< the receiver hasn't acknowledged.
  /** Unacknowledged segments in order of sequence number. */
  std::vector<Segment> segments;
  TimePoint retransmit_at = kNever;  ///< Next retransmission; kNever if there
                                     ///< is no unacknowledged segment.
  Milliseconds retransmission_timeout = kInitialRetransmissionTimeout;
  int retransmissions = 0;  ///< Retransmissions of the oldest segment since the
                            ///< last acknowledgement.
};

/** The receiving half of a reliable byte stream: puts segments in order. */
class Receiver {
 public:
  /** @param sequence Sequence number of the first byte. */
  explicit Receiver(uint32_t sequence) : next_sequence(sequence) {}

  /**
   * Adds a segment.
   * @param sequence Sequence number of its first byte.
   * @return All bytes that are in order now and haven't been returned yet.
   */
  std::string Reassemble(uint32_t sequence, const std::string& bytes);
  /** @return Sequence number of the next byte in order. */
  uint32_t NextSequence() const { return this->next_sequence; }

 private:
  uint32_t next_sequence;  ///< Sequence number of the next byte in order.
  std::vector<std::pair<uint32_t, std::string>>
      out_of_order;  ///< Sequence number and bytes of segments after a gap.
};

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_MODEL_TYPE_H_
