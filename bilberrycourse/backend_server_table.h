#ifndef BILBERRYCOURSE_BACKEND_SERVER_TABLE_H_
#define BILBERRYCOURSE_BACKEND_SERVER_TABLE_H_

// All searchers that this instance knows: those that announce themselves here
// (this instance is their registrar) and those learned by gossip.
//
//   backend_server_table table("e1", {});
//   std::vector<backend_server_effect> out;
//   result_code code = table.Announce(record, now, &out);
//   table.Merge(record, now, &out);      // record_changed, kBackendServer
//   table.SetAliveInstances(names, now, &out);   // on each view_changed
//   table.Tick(now, &out);                       // every 10 ms
//
// A searcher renews its announcement every second at its registrar. A renewal
// without changes produces no effects; changed attributes get a higher sequence
// and are published at once. Without a renewal for `lost_after`, the registrar
// publishes the searcher as lost. If the registrar itself is not alive, its
// records stay in force for `registrar_grace`, so that the searchers can
// announce themselves elsewhere; after that, each instance treats them as lost.

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bilberrycourse/backend_server_record.h"
#include "bilberrycourse/gossip_table.h"
#include "bilberrycourse/result_code.h"
#include "bilberrycourse/types.h"

namespace bilberrycourse {

// Effect: a searcher is new, or its attributes or state changed in the view of
// this instance. Lost searchers have the state kLost.
struct backend_server_changed {
  backend_server_record record;
};
using backend_server_effect =
    std::variant<backend_server_changed, publish_record>;

struct backend_server_options {
  // A searcher without a renewal for this long is lost.
  duration lost_after = std::chrono::seconds(3);
  // How long the records of a registrar that is not alive stay in force.
  duration registrar_grace = std::chrono::seconds(5);
  // Records whose registrar has not been alive for this long are removed from
  // gossip by the first alive instance.
  duration orphan_retention = std::chrono::minutes(10);
  // Records of lost searchers are kept this long, so that lower incarnations
  // are still refused.
  duration lost_retention = std::chrono::hours(2);
  // The part of a gap between ticks that exceeds this counts as a pause of the
  // process, in which no renewals were read.
  duration pause_threshold = std::chrono::milliseconds(500);
  std::size_t max_records = 32768;
  std::size_t max_versions = 64;
  std::size_t max_name_bytes = 128;
};

class backend_server_table {
 public:
  backend_server_table(instance_name self, backend_server_options options);
  backend_server_table(const backend_server_table&) = delete;
  backend_server_table& operator=(const backend_server_table&) = delete;

  // Handles an announcement or renewal; sequence and registrar of `announced`
  // are ignored. Returns kOk, kStaleIncarnation, kInvalidField, or kOverloaded
  // if the table is full.
  result_code Announce(const backend_server_record& announced, time_point now,
                       std::vector<backend_server_effect>* out);

  // Handles a record of kind kBackendServer from gossip_table.
  void Merge(const soft_record& record, time_point now,
             std::vector<backend_server_effect>* out);

  // Sets the names of the alive instances, in ascending order.
  void SetAliveInstances(std::vector<instance_name> names, time_point now,
                         std::vector<backend_server_effect>* out);

  void Tick(time_point now, std::vector<backend_server_effect>* out);

  // Returns the record in the view of this instance, or nullptr if unknown.
  const backend_server_record* Find(const backend_server_key& key) const;
  // Calls `visit` for every record, including lost ones, in the order of keys.
  void ForEach(
      const std::function<void(const backend_server_record&)>& visit) const;
  std::size_t size() const { return entries_.size(); }
  std::uint64_t malformed() const { return malformed_; }

 private:
  // An entry is in exactly one of the lists below.
  struct server_entry
      : boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    // The record as known by gossip.
    backend_server_record published;
    // The same record, but in the state kLost if the registrar is not alive
    // after the grace.
    backend_server_record view;
    // Time at which the entry was added to its list or renewed.
    time_point since{};
  };
  // All entries of one list have the same delay, so appending keeps them in the
  // order of their due times and a tick examines only the front.
  using entry_list =
      boost::intrusive::list<server_entry,
                             boost::intrusive::constant_time_size<false>>;

  bool IsValid(const backend_server_record& record) const;
  bool IsAlive(const instance_name& name) const;
  void MoveTo(entry_list* list, server_entry* entry, time_point now);
  // Moves a changed entry to the list for its state and registrar.
  void Classify(server_entry* entry, time_point now);
  void SetView(server_entry* entry, const backend_server_record& view,
               std::vector<backend_server_effect>* out);
  // Stores `record` as the newest version and publishes it.
  void Publish(server_entry* entry, backend_server_record record,
               time_point now, std::vector<backend_server_effect>* out);
  void PublishLost(server_entry* entry, time_point now,
                   std::vector<backend_server_effect>* out);

  const instance_name self_;
  const backend_server_options options_;
  std::map<backend_server_key, server_entry> entries_;
  // This instance is the registrar.
  entry_list renewed_;
  // The registrar is alive elsewhere.
  entry_list remote_;
  // The registrar is not alive: within the grace (orphaned) and after it
  // (abandoned).
  entry_list orphaned_;
  entry_list abandoned_;
  // Published as lost.
  entry_list lost_;
  std::vector<instance_name> alive_;
  std::optional<time_point> last_tick_;
  std::uint64_t malformed_ = 0;
};

}  // namespace bilberrycourse

#endif  // BILBERRYCOURSE_BACKEND_SERVER_TABLE_H_
