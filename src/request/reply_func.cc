/** @file reply_func.cc Packets to callers and backend servers about a request.
 */

#include "request/reply_func.h"

namespace cuminvane {
namespace {

/** Maximum number of missing parts requested in one message. */
constexpr size_t kMaxPartsPerQuery = 64;

}  // namespace

void SendToCaller(const CallerPath& path,
                  std::string_view packet,
                  Output& out) {
  const FabricPacket wrapped{path.caller, path.service, MakeBlob(packet)};
  out.datagrams.push_back({Channel::kFabric, path.fabric, Encode(wrapped)});
}

void SendOutcome(const CallerPath& path,
                 FlowId flow,
                 RequestNumber number,
                 ResultCode code,
                 Output& out) {
  const RequestOutcome outcome{
      flow, number, static_cast<uint16_t>(code), {}, {}};
  SendToCaller(path, Encode(outcome), out);
}

void SendReceipt(const CallerPath& path,
                 FlowId flow,
                 RequestNumber number,
                 const VmInstance& self,
                 Output& out) {
  SendToCaller(path, Encode(RequestRecorded{flow, number, self}), out);
}

void SendPart(FlowId flow,
              const RequestRecord& record,
              uint32_t index,
              const VmInstance& self,
              Output& out) {
  const AnswerPart part{flow,
                        record.number,
                        record.run,
                        self,
                        index,
                        static_cast<uint32_t>(record.parts.size()),
                        MakeBlob(record.parts[index])};
  SendToCaller(record.path, Encode(part), out);
}

void SendRun(FlowId flow,
             const RequestRecord& record,
             const Endpoint& backend,
             Output& out) {
  const StartRun run{record.run,
                     record.backend_incarnation,
                     flow,
                     record.number,
                     record.work_class,
                     ToUnixMicroseconds(record.deadline),
                     MakeBlob(record.payload)};
  out.datagrams.push_back({Channel::kBackend, backend, Encode(run)});
}

void SendCancelRun(const RequestRecord& record,
                   const Endpoint& backend,
                   Output& out) {
  const CancelRun cancel{record.run, record.backend_incarnation,
                         ToUnixMicroseconds(record.deadline)};
  out.datagrams.push_back({Channel::kBackend, backend, Encode(cancel)});
}

void SendMissingRunPartsQuery(const RequestRecord& record,
                              const Endpoint& backend,
                              Output& out) {
  MissingRunPartsQuery query{record.run, record.backend_incarnation, {}};
  for (uint32_t index = 0; index < record.has_part.size(); ++index) {
    if (!record.has_part[index] && query.missing.size() < kMaxPartsPerQuery)
      query.missing.push_back(index);
  }
  out.datagrams.push_back({Channel::kBackend, backend, Encode(query)});
}

}  // namespace cuminvane
