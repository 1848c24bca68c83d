#ifndef BILBERRYCOURSE_GOSSIP_CODEC_H_
#define BILBERRYCOURSE_GOSSIP_CODEC_H_

// Encodes and decodes the messages of gossip_table and the values of soft
// records. Decode functions verify the bytes and return nullopt if they are
// malformed or out of range.
//
//   std::string bytes = EncodeGossip(gossip_digest{hashes});
//   std::optional<gossip_message> message = DecodeGossip(bytes);

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bilberrycourse/backend_server_record.h"
#include "bilberrycourse/gossip_table.h"
#include "bilberrycourse/instance_record.h"

namespace bilberrycourse {

struct gossip_records {
  std::vector<soft_record> records;
  // False for a push, true for a reply to a digest, summary or request.
  bool exchange = false;
  // The sender stopped at `max_exchange_bytes` and has more records.
  bool more = false;
};
struct gossip_root_digest {
  std::uint64_t hash = 0;
};
struct gossip_digest {
  std::array<std::uint64_t, gossip_table::kBuckets> buckets{};
};
struct gossip_summary_entry {
  std::uint64_t key_hash = 0;
  record_version version;
  std::uint64_t content_hash = 0;
};
struct gossip_summary {
  // Bit set of the buckets whose entries are all in this message.
  std::uint64_t complete = 0;
  std::vector<gossip_summary_entry> entries;
};
struct gossip_request {
  std::vector<std::uint64_t> key_hashes;
};
using gossip_message =
    std::variant<gossip_records, gossip_digest, gossip_summary, gossip_request,
                 gossip_root_digest>;

std::string EncodeGossip(const gossip_message& message);
std::optional<gossip_message> DecodeGossip(std::string_view bytes);

// Returns an upper bound of the encoded size of one record in gossip_records.
std::size_t EncodedSizeBound(const soft_record& record);

// Encodes and decodes the value of a record of kind kInstance.
std::string EncodeInstance(const instance_record& record);
std::optional<instance_record> DecodeInstance(std::string_view bytes);

// Converts a searcher to a soft record and back: the registrar is the owner,
// and a lost searcher becomes a tombstone.
soft_record ToSoftRecord(const backend_server_record& record);
std::optional<backend_server_record> ToBackendServerRecord(
    const soft_record& record);

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_GOSSIP_CODEC_H_
