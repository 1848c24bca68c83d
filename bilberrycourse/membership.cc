#include "bilberrycourse/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "bilberrycourse/gossip_codec.h"
#include "bilberrycourse/membership_codec.h"

namespace bilberrycourse {
namespace {

// Further probe requests are ignored while this many probes are running.
constexpr std::size_t kMaxRunningProbes = 4096;

// Includes opening the link to the seed, which takes several round trips, and
// possibly the start of the seed.
constexpr duration kSeedAnswerTimeout = std::chrono::seconds(5);

bool IsInView(instance_status status) {
  return status == instance_status::kAlive ||
         status == instance_status::kSuspect;
}

bool NameLess(const instance_record& record, const instance_name& name) {
  return record.name < name;
}

// Returns true if a field differs that routing depends on.
bool RoutingFieldsDiffer(const instance_record& a, const instance_record& b) {
  return a.zone != b.zone || a.peer_address != b.peer_address ||
         a.http_address != b.http_address || a.roles != b.roles;
}

}  // namespace

membership::membership(instance_record self, membership_options options)
    : self_(std::move(self)),
      options_(std::move(options)),
      random_(XXH3_64bits_withSeed(self_.name.data(), self_.name.size(),
                                   options_.seed)) {}

void membership::Start(time_point now, std::vector<membership_effect>* out) {
  last_tick_ = now;
  next_probe_ = now;
  next_reconnect_ = now + options_.reconnect_period;
  Publish(self_, instance_status::kAlive, out);
  UpdateView(self_, true, out);
  for (const std::string& address : options_.seeds) {
    ContactSeed(address, now, out);
  }
}

void membership::Leave(time_point, std::vector<membership_effect>* out) {
  if (leaving_) return;
  leaving_ = true;
  probes_.clear();
  Publish(self_, instance_status::kLeaving, out);
  UpdateView(self_, false, out);
}

void membership::SetRoles(instance_roles roles, time_point,
                          std::vector<membership_effect>* out) {
  if (leaving_ || roles == self_.roles) return;
  self_.roles = roles;
  ++self_.incarnation;
  Publish(self_, instance_status::kAlive, out);
  UpdateView(self_, true, out);
}

void membership::SetFreshness(const control_freshness& freshness,
                              time_point now) {
  freshness_ = freshness;
  freshness_set_at_ = now;
}

control_freshness membership::FreshnessAt(time_point now) const {
  control_freshness f = freshness_;
  const duration since = now - freshness_set_at_;
  f.age = f.age > duration::max() - since ? duration::max() : f.age + since;
  return f;
}

std::vector<instance_name> membership::AliveWithRole(instance_role role) const {
  std::vector<instance_name> names;
  for (const instance_record& r : alive_) {
    if (r.roles.Has(role)) names.push_back(r.name);
  }
  return names;
}

const instance_record* membership::Find(const instance_name& name) const {
  if (name == self_.name) return &self_;
  const auto it = peers_.find(name);
  return it == peers_.end() ? nullptr : &it->second.record;
}

std::optional<instance_status> membership::Status(
    const instance_name& name) const {
  if (name == self_.name) {
    return leaving_ ? instance_status::kLeaving : instance_status::kAlive;
  }
  const auto it = peers_.find(name);
  if (it == peers_.end()) return std::nullopt;
  return it->second.status;
}

instance_knowledge membership::KnowledgeOf(const instance_name& name) const {
  const auto it = peers_.find(name);
  if (it == peers_.end()) return {};
  return {it->second.record.incarnation, it->second.status};
}

std::size_t membership::RandomBelow(std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

void membership::Publish(const instance_record& record, instance_status status,
                         std::vector<membership_effect>* out) const {
  // The owner is the instance that the record describes, even if another
  // instance claims that it is suspect or dead: all instances that make the
  // same claim publish equal records, which gossip_table stores and pushes
  // once.
  soft_record r;
  r.kind = record_kind::kInstance;
  r.key = record.name;
  r.owner = record.name;
  r.version = {record.incarnation, static_cast<std::uint64_t>(status)};
  r.deleted = !IsInView(status);
  r.value = EncodeInstance(record);
  out->push_back(publish_record{std::move(r)});
}

void membership::UpdateView(const instance_record& record, bool present,
                            std::vector<membership_effect>* out) {
  const auto it =
      std::lower_bound(alive_.begin(), alive_.end(), record.name, NameLess);
  const bool was_present = it != alive_.end() && it->name == record.name;
  bool changed = present != was_present;
  if (present && was_present) {
    changed = RoutingFieldsDiffer(*it, record);
    *it = record;
  } else if (present) {
    alive_.insert(it, record);
  } else if (was_present) {
    alive_.erase(it);
  }
  if (changed) out->push_back(view_changed{++view_term_});
}

void membership::SetStatus(peer* p, instance_status status, time_point now) {
  if (p->is_linked()) p->unlink();
  p->status = status;
  if (status != instance_status::kSuspect) return;
  p->dead_at = now + options_.suspicion_timeout;
  suspects_.push_back(*p);
}

void membership::ApplyClaim(const instance_record& record,
                            instance_status status, bool direct, time_point now,
                            std::vector<membership_effect>* out) {
  if (record.name == self_.name) {
    // In direct messages, knowledge about the receiver is in a separate field.
    if (!direct) RefuteIfNeeded({record.incarnation, status}, {}, out);
    return;
  }
  auto it = peers_.find(record.name);
  const bool known = it != peers_.end();
  if (!known) {
    if (peers_.size() >= options_.max_instances) return;
    it = peers_.try_emplace(record.name).first;
  }
  peer& p = it->second;
  const bool was_in_view = known && IsInView(p.status);
  if (known) {
    const bool newer =
        record.incarnation > p.record.incarnation ||
        (record.incarnation == p.record.incarnation &&
         (status > p.status || (p.withdrawn && status != p.status)));
    if (!newer) {
      if (record.incarnation == p.record.incarnation) p.withdrawn = false;
      return;
    }
    if (status == instance_status::kDead && IsInView(p.status)) {
      // The suspicion runs for its full timeout, so that the peer can refute
      // even if claims of its suspicion and of its death arrive close together.
      const bool already_suspected = p.status == instance_status::kSuspect &&
                                     record.incarnation == p.record.incarnation;
      if (already_suspected) return;
      status = instance_status::kSuspect;
    }
  }
  const bool suspected_by_claim =
      !direct && status == instance_status::kSuspect && was_in_view &&
      p.status == instance_status::kAlive;
  p.withdrawn = false;
  p.record = record;
  SetStatus(&p, status, now);
  if (direct) Publish(record, status, out);
  out->push_back(instance_changed{record, status});
  UpdateView(record, IsInView(status), out);
  if (suspected_by_claim && !leaving_) {
    // Notifies the suspected peer: records received by an exchange may not be
    // pushed on, so the peer might not receive the claim in time to refute it.
    out->push_back(membership_send{
        record.name,
        EncodeMembership(notice_message{KnowledgeOf(record.name), self_})});
  }
  if (was_in_view || !IsInView(status)) return;
  // Inserts at a random position among the remaining targets of this round, as
  // in SWIM, so that a new peer is not always probed last.
  const std::size_t position =
      next_in_probe_order_ +
      RandomBelow(probe_order_.size() - next_in_probe_order_ + 1);
  probe_order_.insert(
      probe_order_.begin() + static_cast<std::ptrdiff_t>(position),
      record.name);
  // When a partition heals, hundreds of peers return at once. An exchange with
  // a few of them transfers the same records as an exchange with each.
  if (direct && now >= next_synchronize_) {
    next_synchronize_ = now + options_.probe_period;
    out->push_back(synchronize_with{record.name});
  }
}

void membership::Merge(const soft_record& record, bool expired, time_point now,
                       std::vector<membership_effect>* out) {
  if (record.kind != record_kind::kInstance) return;
  if (expired) {
    const auto it = peers_.find(record.key);
    if (it != peers_.end() && !IsInView(it->second.status)) peers_.erase(it);
    return;
  }
  const std::optional<instance_record> decoded = DecodeInstance(record.value);
  if (!decoded || decoded->name != record.key ||
      decoded->incarnation != record.version.incarnation ||
      record.version.sequence >
          static_cast<std::uint64_t>(instance_status::kLeaving)) {
    ++counters_.malformed;
    return;
  }
  ApplyClaim(*decoded, static_cast<instance_status>(record.version.sequence),
             false, now, out);
}

bool membership::RefuteIfNeeded(const instance_knowledge& known,
                                const instance_name& by,
                                std::vector<membership_effect>* out) {
  if (leaving_ || known.incarnation < self_.incarnation ||
      (known.incarnation == self_.incarnation &&
       known.status == instance_status::kAlive)) {
    return false;
  }
  ++counters_.refutations;
  self_.incarnation = known.incarnation + 1;
  Publish(self_, instance_status::kAlive, out);
  UpdateView(self_, true, out);
  if (known.status != instance_status::kDead) return true;
  out->push_back(declared_dead{by, self_.incarnation});
  for (auto& [name, p] : peers_) {
    if (p.status != instance_status::kDead &&
        p.status != instance_status::kSuspect) {
      continue;
    }
    p.withdrawn = true;
    out->push_back(withdraw_record{name});
  }
  if (!by.empty()) out->push_back(synchronize_with{by});
  return true;
}

void membership::SendNoticeIfOutdated(
    const instance_knowledge& known, const instance_name& to,
    std::vector<membership_effect>* out) const {
  if (leaving_ ||
      known == instance_knowledge{self_.incarnation, instance_status::kAlive}) {
    return;
  }
  out->push_back(membership_send{
      to, EncodeMembership(notice_message{KnowledgeOf(to), self_})});
}

void membership::Receive(const instance_name& from, std::string_view bytes,
                         time_point now, std::vector<membership_effect>* out) {
  if (from == self_.name) return;
  const std::optional<membership_message> message = DecodeMembership(bytes);
  if (!message) {
    ++counters_.malformed;
    return;
  }
  std::visit([&](const auto& m) { Handle(from, m, now, out); }, *message);
}

void membership::Handle(const instance_name& from, const probe_message& m,
                        time_point now, std::vector<membership_effect>* out) {
  if (m.sender && m.sender->name != from) {
    ++counters_.malformed;
    return;
  }
  if (m.sender) ApplyClaim(*m.sender, instance_status::kAlive, true, now, out);
  RefuteIfNeeded(m.known, from, out);
  out->push_back(freshness_received{from, m.freshness, std::nullopt});
  ack_message ack;
  ack.id = m.id;
  ack.incarnation = self_.incarnation;
  ack.known = KnowledgeOf(from);
  ack.freshness = FreshnessAt(now);
  if (!leaving_ && m.known != instance_knowledge{self_.incarnation,
                                                 instance_status::kAlive}) {
    ack.sender = self_;
  }
  out->push_back(membership_send{from, EncodeMembership(ack)});
}

void membership::Handle(const instance_name& from, const ack_message& m,
                        time_point now, std::vector<membership_effect>* out) {
  if (m.sender && m.sender->name != from) {
    ++counters_.malformed;
    return;
  }
  const auto it = probes_.find(m.id);
  if (it != probes_.end() &&
      (it->second.target.empty() || it->second.target == from)) {
    const probe& p = it->second;
    if (!p.requester.empty()) {
      out->push_back(membership_send{
          p.requester,
          EncodeMembership(indirect_ack_message{p.requester_probe_id, from,
                                                m.freshness, m.sender})});
    } else {
      if (p.target.empty()) seed_names_[p.seed_address] = from;
      out->push_back(freshness_received{from, m.freshness, p.sent_at});
    }
    probes_.erase(it);
  }
  if (m.sender) ApplyClaim(*m.sender, instance_status::kAlive, true, now, out);
  RefuteIfNeeded(m.known, from, out);
  const instance_knowledge ours = KnowledgeOf(from);
  const bool sender_must_refute = ours.incarnation == m.incarnation &&
                                  ours.status != instance_status::kAlive;
  if (sender_must_refute) {
    out->push_back(
        membership_send{from, EncodeMembership(notice_message{ours, self_})});
  } else {
    SendNoticeIfOutdated(m.known, from, out);
  }
}

void membership::Handle(const instance_name& from,
                        const probe_request_message& m, time_point now,
                        std::vector<membership_effect>* out) {
  if (leaving_ || m.target == self_.name || m.target == from ||
      probes_.size() >= kMaxRunningProbes) {
    return;
  }
  const auto it = peers_.find(m.target);
  if (it == peers_.end()) return;
  // Sends the newer knowledge of both instances, so that a suspected target is
  // notified even if only this instance can reach it.
  instance_knowledge known = KnowledgeOf(m.target);
  if (std::pair(m.known.incarnation, m.known.status) >
      std::pair(known.incarnation, known.status)) {
    known = m.known;
  }
  probe p;
  p.target = m.target;
  p.requester = from;
  p.requester_probe_id = m.id;
  ++counters_.indirect_probes;
  SendProbe(std::move(p), known, now, out);
}

void membership::Handle(const instance_name&, const indirect_ack_message& m,
                        time_point now, std::vector<membership_effect>* out) {
  const auto it = probes_.find(m.id);
  if (it == probes_.end() || it->second.target != m.target ||
      !it->second.requester.empty() ||
      (m.record && m.record->name != m.target)) {
    return;
  }
  out->push_back(freshness_received{m.target, m.freshness, it->second.sent_at});
  probes_.erase(it);
  if (m.record) ApplyClaim(*m.record, instance_status::kAlive, true, now, out);
}

void membership::Handle(const instance_name& from, const notice_message& m,
                        time_point now, std::vector<membership_effect>* out) {
  if (m.sender.name != from) {
    ++counters_.malformed;
    return;
  }
  ApplyClaim(m.sender, instance_status::kAlive, true, now, out);
  RefuteIfNeeded(m.known, from, out);
  SendNoticeIfOutdated(m.known, from, out);
}

void membership::Tick(time_point now, std::vector<membership_effect>* out) {
  ExtendTimersAfterPause(now);
  if (leaving_) return;
  CheckProbes(now, out);
  while (!suspects_.empty() && suspects_.front().dead_at <= now) {
    peer& p = suspects_.front();
    ++counters_.deaths;
    SetStatus(&p, instance_status::kDead, now);
    Publish(p.record, p.status, out);
    out->push_back(instance_changed{p.record, p.status});
    UpdateView(p.record, false, out);
  }
  if (now >= next_probe_) {
    next_probe_ = std::max(next_probe_ + options_.probe_period, now);
    ProbeNext(now, out);
  }
  if (now >= next_reconnect_) {
    next_reconnect_ = now + options_.reconnect_period;
    Reconnect(now, out);
  }
}

void membership::ExtendTimersAfterPause(time_point now) {
  const duration gap = now - last_tick_.value_or(now);
  last_tick_ = now;
  if (gap <= options_.pause_threshold) return;
  ++counters_.pauses;
  const duration pause = gap - options_.pause_threshold;
  for (auto& [id, p] : probes_) {
    p.ack_deadline += pause;
    p.expires_at += pause;
  }
  for (peer& p : suspects_) p.dead_at += pause;
}

void membership::CheckProbes(time_point now,
                             std::vector<membership_effect>* out) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    probe& p = it->second;
    if (now >= p.expires_at) {
      if (p.requester.empty()) Suspect(p.target, now, out);
      it = probes_.erase(it);
      continue;
    }
    if (now >= p.ack_deadline && !p.probe_requests_sent &&
        p.requester.empty() && !p.target.empty()) {
      p.probe_requests_sent = true;
      SendProbeRequests(it->first, p, out);
    }
    ++it;
  }
}

void membership::Suspect(const instance_name& name, time_point now,
                         std::vector<membership_effect>* out) {
  const auto it = peers_.find(name);
  if (it == peers_.end() || it->second.status != instance_status::kAlive) {
    return;
  }
  peer& p = it->second;
  ++counters_.suspicions;
  SetStatus(&p, instance_status::kSuspect, now);
  Publish(p.record, p.status, out);
  out->push_back(instance_changed{p.record, p.status});
}

void membership::SendProbeRequests(std::uint64_t id, const probe& p,
                                   std::vector<membership_effect>* out) {
  const auto it = peers_.find(p.target);
  if (it == peers_.end() || !IsInView(it->second.status)) return;
  const std::string bytes = EncodeMembership(
      probe_request_message{id, p.target, KnowledgeOf(p.target)});
  // Picks random peers by a partial shuffle of the indexes of alive_.
  std::vector<std::size_t> indexes(alive_.size());
  for (std::size_t i = 0; i < indexes.size(); ++i) indexes[i] = i;
  std::uint32_t requests_sent = 0;
  for (std::size_t i = 0; i < indexes.size(); ++i) {
    if (requests_sent == options_.indirect_probes) break;
    std::swap(indexes[i], indexes[i + RandomBelow(indexes.size() - i)]);
    const instance_name& name = alive_[indexes[i]].name;
    if (name == self_.name || name == p.target ||
        KnowledgeOf(name).status != instance_status::kAlive) {
      continue;
    }
    out->push_back(membership_send{name, bytes});
    ++requests_sent;
  }
}

void membership::ProbeNext(time_point now,
                           std::vector<membership_effect>* out) {
  // Makes at most one pass over the rest of the current round and one over a
  // new round.
  for (int round = 0; round < 2; ++round) {
    while (next_in_probe_order_ < probe_order_.size()) {
      const instance_name name = probe_order_[next_in_probe_order_++];
      const auto it = peers_.find(name);
      if (it == peers_.end() || !IsInView(it->second.status)) continue;
      probe p;
      p.target = name;
      SendProbe(std::move(p), KnowledgeOf(name), now, out);
      return;
    }
    probe_order_.clear();
    next_in_probe_order_ = 0;
    for (const instance_record& r : alive_) {
      if (r.name != self_.name) probe_order_.push_back(r.name);
    }
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
  }
}

bool membership::IsSeedReached(const std::string& address) const {
  if (address == self_.peer_address) return true;
  const auto it = seed_names_.find(address);
  if (it != seed_names_.end()) {
    if (it->second == self_.name) return true;
    const auto found = peers_.find(it->second);
    if (found != peers_.end() && IsInView(found->second.status)) return true;
  }
  return std::any_of(
      alive_.begin(), alive_.end(),
      [&](const instance_record& r) { return r.peer_address == address; });
}

void membership::Reconnect(time_point now,
                           std::vector<membership_effect>* out) {
  const auto should_attempt = [&](std::size_t candidates) {
    return options_.reconnect_attempts * static_cast<double>(candidates) /
               static_cast<double>(alive_.size()) >=
           std::uniform_real_distribution<double>(0, 1)(random_);
  };
  std::vector<const peer*> dead;
  for (const auto& [name, p] : peers_) {
    if (p.status == instance_status::kDead) dead.push_back(&p);
  }
  if (!dead.empty() && should_attempt(dead.size())) {
    const peer& target = *dead[RandomBelow(dead.size())];
    probe p;
    p.target = target.record.name;
    SendProbe(std::move(p), KnowledgeOf(target.record.name), now, out);
  }
  std::vector<const std::string*> unreached;
  for (const std::string& address : options_.seeds) {
    if (!IsSeedReached(address)) unreached.push_back(&address);
  }
  if (!unreached.empty() && should_attempt(unreached.size())) {
    ContactSeed(*unreached[next_seed_++ % unreached.size()], now, out);
  }
}

void membership::ContactSeed(const std::string& address, time_point now,
                             std::vector<membership_effect>* out) {
  if (address == self_.peer_address) return;
  probe p;
  p.seed_address = address;
  SendProbe(std::move(p), {}, now, out);
}

void membership::SendProbe(probe p, instance_knowledge known, time_point now,
                           std::vector<membership_effect>* out) {
  ++counters_.probes;
  p.sent_at = now;
  p.ack_deadline = now + options_.ack_timeout;
  p.expires_at =
      now + (p.target.empty() ? kSeedAnswerTimeout : options_.probe_period);
  const std::uint64_t id = next_probe_id_++;
  probe_message m;
  m.id = id;
  m.incarnation = self_.incarnation;
  m.known = known;
  m.freshness = FreshnessAt(now);
  // A peer that was unreachable may not know this instance.
  if (known.incarnation == 0 || !IsInView(known.status)) m.sender = self_;
  std::string bytes = EncodeMembership(m);
  if (p.target.empty()) {
    out->push_back(
        membership_send_to_address{p.seed_address, std::move(bytes)});
  } else {
    out->push_back(membership_send{p.target, std::move(bytes)});
  }
  probes_.emplace(id, std::move(p));
}

}  // namespace bilberrycourse
